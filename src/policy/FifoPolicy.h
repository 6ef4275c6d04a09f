#pragma once

#include "PolicyBase.h"

namespace rosemarylink::policy::internal {

// The first-in-first-out baseline. Jobs start in order of submission at the first fit, and the first job that does not
// fit blocks all later ones. A job whose account has no quota left is skipped.
class FifoPolicy final : public PolicyBase {
protected:
    void schedule(Decisions&, Timestamp) override;
};

} // namespace rosemarylink::policy::internal
