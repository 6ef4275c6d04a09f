#include "AccountDirectory.h"

#include <Poco/SHA2Engine.h>

#include <algorithm>

namespace rosemarylink::gateway::internal {

std::string sha256Hex(const std::string& text)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(text);
    return Poco::DigestEngine::digestToHex(engine.digest());
}

bool equalInConstantTime(const std::string& a, const std::string& b)
{
    if (a.size() != b.size())
        return false;
    unsigned difference = 0;
    for (std::size_t index = 0; index < a.size(); ++index)
        difference |= static_cast<unsigned char>(a[index]) ^ static_cast<unsigned char>(b[index]);
    return difference == 0;
}

AccountDirectory::AccountDirectory(const model::Declarations& declarations)
    : accounts_(declarations.accounts)
{
    for (model::Account& account : accounts_) {
        for (std::string& key : account.keySha256)
            std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) { return std::tolower(c); });
    }
    if (!declarations.worths.empty())
        largestWorth_ = 0;
    for (const model::KindWorth& worth : declarations.worths) {
        worths_[worth.kind.value()] = worth.worth;
        largestWorth_ = std::max(largestWorth_, worth.worth);
    }
}

Result<AccountId> AccountDirectory::authenticate(const std::string& authorization) const
{
    static const std::string scheme = "Bearer ";
    if (authorization.compare(0, scheme.size(), scheme) != 0)
        return makeError(ErrorCode::Unauthenticated, "the header Authorization must be \"Bearer <key>\"");
    const std::string digest = sha256Hex(authorization.substr(scheme.size()));
    // Compares all keys, so that the run time does not reveal which account matched.
    const model::Account* found = nullptr;
    for (const model::Account& account : accounts_) {
        for (const std::string& key : account.keySha256) {
            if (equalInConstantTime(key, digest))
                found = &account;
        }
    }
    if (!found)
        return makeError(ErrorCode::Unauthenticated, "the key belongs to no client account");
    return found->id;
}

double AccountDirectory::worth(const ServiceId& service) const
{
    const auto position = worths_.find(service.value());
    return position == worths_.end() ? 1 : position->second;
}

} // namespace rosemarylink::gateway::internal
