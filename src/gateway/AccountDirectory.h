#pragma once

#include "rosemarylink/generated/Model.h"

#include <map>
#include <string>

namespace rosemarylink::gateway::internal {

// Returns the SHA-256 digest of the text in lower-case hexadecimal.
std::string sha256Hex(const std::string&);

// Compares two texts in a time that depends on their lengths only, so that it does not reveal where they differ.
bool equalInConstantTime(const std::string&, const std::string&);

// The client accounts and the worths of services from the declarations in force. Immutable.
class AccountDirectory {
public:
    explicit AccountDirectory(const model::Declarations&);

    // Returns the account that owns the key in an Authorization header of the form "Bearer <key>". Fails with
    // Unauthenticated when the header has another form or no account has the key.
    Result<AccountId> authenticate(const std::string& authorization) const;

    // Returns the declared worth of one request to the service, or 1 when none is declared.
    double worth(const ServiceId&) const;

    double largestWorth() const { return largestWorth_; }
    const std::vector<model::Account>& accounts() const { return accounts_; }

private:
    std::vector<model::Account> accounts_;
    std::map<std::string, double> worths_;
    double largestWorth_ = 1;
};

} // namespace rosemarylink::gateway::internal
