#include "rosemarylink/control/Authenticator.h"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>
#include <Poco/String.h>

#include <algorithm>

namespace rosemarylink::control {

namespace {

    constexpr std::size_t maximumKeysPerOperator = 2;

    Status checkNewKey(const OperatorKey& key, const std::vector<OperatorKey>& others)
    {
        std::size_t sameOperator = 0;
        for (const OperatorKey& other : others) {
            if (other.id == key.id)
                ++sameOperator;
            if (other.sha256 == key.sha256)
                return invalidArgument("operators " + other.id.value() + " and " + key.id.value()
                    + " have the same key; each key must be listed once");
        }
        if (sameOperator >= maximumKeysPerOperator)
            return invalidArgument("operator " + key.id.value() + " has more than two keys; remove the oldest");
        return okStatus();
    }

} // namespace

bool isSha256Hex(std::string_view text)
{
    return text.size() == 64 && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    });
}

Result<std::vector<OperatorKey>> parseOperatorKeys(const std::vector<std::string>& values)
{
    std::vector<OperatorKey> keys;
    for (const std::string& value : values) {
        const auto colon = value.find(':');
        const std::string name = Poco::trim(value.substr(0, colon));
        const std::string hash = colon == std::string::npos ? "" : Poco::trim(value.substr(colon + 1));
        if (name.empty() || !isSha256Hex(hash)) {
            return invalidArgument("operator key " + std::to_string(keys.size() + 1)
                + " is malformed; it must be NAME:HASH, where HASH is the SHA-256 of the key in 64 lower-case "
                  "hexadecimal digits");
        }
        const OperatorKey key { OperatorId(name), hash };
        BOOST_OUTCOME_TRYV(checkNewKey(key, keys));
        keys.push_back(key);
    }
    return keys;
}

std::string sha256Hex(std::string_view key)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(key.data(), key.size());
    return Poco::DigestEngine::digestToHex(engine.digest());
}

bool equalInConstantTime(std::string_view a, std::string_view b)
{
    if (a.size() != b.size())
        return false;
    volatile unsigned char difference = 0;
    for (std::size_t index = 0; index < a.size(); ++index)
        difference = static_cast<unsigned char>(difference | (a[index] ^ b[index]));
    return difference == 0;
}

std::optional<AccountId> findAccountByKey(const model::Declarations& declarations, std::string_view bearerKey)
{
    const std::string hash = sha256Hex(bearerKey);
    std::optional<AccountId> found;
    // No early exit, so that the duration does not reveal which account or key matched.
    for (const model::Account& account : declarations.accounts) {
        for (const std::string& candidate : account.keySha256) {
            if (equalInConstantTime(hash, candidate))
                found = account.id;
        }
    }
    return found;
}

std::optional<std::string> bearerKey(const std::string& authorizationHeader)
{
    const std::string scheme = "bearer ";
    if (authorizationHeader.size() <= scheme.size()
        || Poco::icompare(authorizationHeader.substr(0, scheme.size()), scheme) != 0)
        return std::nullopt;
    const std::string key = Poco::trim(authorizationHeader.substr(scheme.size()));
    return key.empty() ? std::nullopt : std::optional<std::string>(key);
}

Result<Principal> Authenticator::authenticate(
    const std::string& authorizationHeader, const model::Declarations* declarations) const
{
    const auto key = bearerKey(authorizationHeader);
    if (!key) {
        return makeError(
            ErrorCode::Unauthenticated, "the header Authorization is missing or malformed; it must be \"Bearer KEY\"");
    }
    const std::string hash = sha256Hex(*key);
    Principal principal;
    for (const OperatorKey& candidate : operators_) {
        if (equalInConstantTime(hash, candidate.sha256))
            principal.operatorId = candidate.id;
    }
    if (declarations && !principal.operatorId)
        principal.account = findAccountByKey(*declarations, *key);
    if (!principal.operatorId && !principal.account)
        return makeError(ErrorCode::Unauthenticated, "unknown bearer key");
    return principal;
}

} // namespace rosemarylink::control
