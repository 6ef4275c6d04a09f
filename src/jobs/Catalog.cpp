#include "rosemarylink/jobs/Catalog.h"

#include <Poco/SHA1Engine.h>

namespace rosemarylink::jobs {

// Contains a digest, because store keys are limited to 200 bytes and the names of accounts are not.
std::string keys::withdrawal(const JobId& id, const AccountId& account)
{
    Poco::SHA1Engine digest;
    digest.update(account.value());
    return withdrawal(id) + "/" + Poco::DigestEngine::digestToHex(digest.digest());
}

} // namespace rosemarylink::jobs
