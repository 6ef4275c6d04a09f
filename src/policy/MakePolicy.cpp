#include "BackfillPolicy.h"
#include "DefaultPolicy.h"
#include "FifoPolicy.h"

namespace rosemarylink::policy {

Result<std::unique_ptr<SchedulingPolicy>> makePolicy(const std::string& name)
{
    std::unique_ptr<SchedulingPolicy> policy;
    if (name == "default")
        policy = std::make_unique<internal::DefaultPolicy>();
    else if (name == "fifo")
        policy = std::make_unique<internal::FifoPolicy>();
    else if (name == "backfill")
        policy = std::make_unique<internal::BackfillPolicy>();
    else
        return makeError(
            ErrorCode::NotFound, "unknown policy '" + name + "'; the policies are default, fifo, backfill");
    return policy;
}

} // namespace rosemarylink::policy
