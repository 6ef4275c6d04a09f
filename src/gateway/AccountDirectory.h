#pragma once

#include "rosemarylink/generated/Model.h"

#include <map>
#include <string>

namespace rosemarylink::gateway::internal {

// SHA-256 of the text in lower-case hexadecimal.
std::string sha256Hex(const std::string&);

// Compares without leaking by its run time where the texts differ.
bool equalInConstantTime(const std::string&, const std::string&);

// What the declarations in force say about client accounts and the worth of services. Immutable.
class AccountDirectory {
public:
    explicit AccountDirectory(const model::Declarations&);

    // The account whose key the header "Bearer <key>" carries. Fails with Unauthenticated.
    Result<AccountId> authenticate(const std::string& authorization) const;

    // The declared worth of one request of the service; 1 when none is declared.
    double worth(const ServiceId&) const;

    double largestWorth() const { return largestWorth_; }
    const std::vector<model::Account>& accounts() const { return accounts_; }

private:
    std::vector<model::Account> accounts_;
    std::map<std::string, double> worths_;
    double largestWorth_ = 1;
};

} // namespace rosemarylink::gateway::internal
