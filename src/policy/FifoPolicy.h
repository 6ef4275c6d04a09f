#pragma once

#include "PolicyBase.h"

namespace rosemarylink::policy::internal {

// The simplest baseline: jobs start in order of submission at the first fit, and the first that does not fit blocks
// those behind it. A job of an account that has its quota in use is passed over.
class FifoPolicy final : public PolicyBase {
protected:
    void choose(Decisions&, Timestamp) override;
};

} // namespace rosemarylink::policy::internal
