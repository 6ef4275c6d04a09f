#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/generated/Model.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarylink::control {

// One bearer key of an operator. An operator has two entries while a key is rotated.
struct OperatorKey {
    OperatorId id;
    std::string sha256; // 64 lower-case hexadecimal digits
};

// Parses values of the form "OPERATOR:SHA256", such as "layla:9f86...". Fails with InvalidArgument on a malformed
// value, on more than two keys of one operator and on a key shared by two operators. Error messages name the operator
// but never contain the hash.
Result<std::vector<OperatorKey>> parseOperatorKeys(const std::vector<std::string>&);

// The SHA-256 of a bearer key in lower-case hexadecimal.
std::string sha256Hex(std::string_view key);

// True when the text is 64 lower-case hexadecimal digits.
bool isSha256Hex(std::string_view);

// Compares in a time that depends only on the lengths, which prevents timing attacks on keys.
bool equalInConstantTime(std::string_view, std::string_view);

// Returns the client account that declares this bearer key, or nothing. Compares with all declared keys, so that the
// duration does not reveal which key matched.
std::optional<AccountId> findAccountByKey(const model::Declarations&, std::string_view bearerKey);

// Extracts the key from an Authorization header value of the form "Bearer <key>"; nothing when it has another form.
std::optional<std::string> bearerKey(const std::string& authorizationHeader);

// The authenticated sender of a request. Exactly one of the two fields is set.
struct Principal {
    std::optional<OperatorId> operatorId;
    std::optional<AccountId> account;
};

// Maps bearer keys to operators and client accounts. Keys are never logged. Thread-safe.
class Authenticator {
public:
    explicit Authenticator(std::vector<OperatorKey> operators)
        : operators_(std::move(operators))
    {
    }

    // Fails with Unauthenticated for a missing, malformed or unknown key. The declarations may be null; operators can
    // still authenticate then, which is needed to apply the first declarations.
    Result<Principal> authenticate(const std::string& authorizationHeader, const model::Declarations*) const;

private:
    std::vector<OperatorKey> operators_;
};

} // namespace rosemarylink::control
