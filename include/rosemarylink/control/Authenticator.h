#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/generated/Model.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarylink::control {

// An operator and the SHA-256 of one of the bearer keys; an operator has two of these during a rotation.
struct OperatorKey {
    OperatorId id;
    std::string sha256; // 64 lower-case hexadecimal digits
};

// Parses the values of a setting such as "layla:9f86...,omar:60303...". Fails on a malformed value, on more than two
// keys of one operator and on a key of two operators; messages contain the operator but never the hash.
Result<std::vector<OperatorKey>> parseOperatorKeys(const std::vector<std::string>&);

// The SHA-256 of a bearer key in lower-case hexadecimal.
std::string sha256Hex(std::string_view key);

// True when the text is 64 lower-case hexadecimal digits.
bool isSha256Hex(std::string_view);

// Compares in a time that depends on the lengths only.
bool equalInConstantTime(std::string_view, std::string_view);

// The client account whose declared keys include this bearer key, or nothing. Takes the same time for each key. The
// request path uses it too.
std::optional<AccountId> findAccountByKey(const model::Declarations&, std::string_view bearerKey);

// The key of an "Authorization: Bearer <key>" header value, or nothing when the header has another form.
std::optional<std::string> bearerKey(const std::string& authorizationHeader);

// Who sent a request: exactly one of the two is set.
struct Principal {
    std::optional<OperatorId> operatorId;
    std::optional<AccountId> account;
};

// Maps bearer keys to operators and client accounts. Keys are never logged.
class Authenticator {
public:
    explicit Authenticator(std::vector<OperatorKey> operators)
        : operators_(std::move(operators))
    {
    }

    // Fails with Unauthenticated. Operators are known without declarations, so that the first can be applied.
    Result<Principal> authenticate(const std::string& authorizationHeader, const model::Declarations*) const;

private:
    std::vector<OperatorKey> operators_;
};

} // namespace rosemarylink::control
