#pragma once

#include "PolicyBase.h"

namespace rosemarylink::policy::internal {

class DefaultPolicy final : public PolicyBase {
protected:
    void choose(Decisions&, Timestamp) override;
};

} // namespace rosemarylink::policy::internal
