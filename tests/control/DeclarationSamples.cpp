#include "DeclarationSamples.h"

#include "rosemarylink/control/Authenticator.h"

namespace rosemarylink::control {

const std::string harborHash1 = sha256Hex("harbor-key-1");
const std::string harborHash2 = sha256Hex("harbor-key-2");
const std::string depotHash1 = sha256Hex("depot-key-1");

std::string sampleDeployment()
{
    return "[preset]\n"
           "name = ordinary\n"
           "[weights]\n"
           "completion = 0.7\n"
           "fragmentation = 0.3\n"
           "[worth quote-drafting]\n"
           "worth = 50\n";
}

std::string sampleAccounts()
{
    return "[account harbor]\n"
           "weight = 3\n"
           "keySha256 = "
        + harborHash1
        + "\n"
          "quotaAccelerators = 64\n"
          "[guarantee harbor/night]\n"
          "region = amman\n"
          "gangs = 2\n"
          "tasks = 16\n"
          "acceleratorsPerTask = 1\n"
          "[account depot]\n"
          "weight = 1\n"
          "keySha256 = "
        + depotHash1
        + "\n"
          "[guarantee depot/match]\n"
          "region = irbid\n"
          "gangs = 1\n"
          "tasks = 8\n"
          "acceleratorsPerTask = 1\n"
          "adjacency = worker\n";
}

model::Declarations sampleDeclarations()
{
    return parseDeclarationFiles({ { "deployment.ini", sampleDeployment() }, { "accounts.ini", sampleAccounts() } })
        .value();
}

} // namespace rosemarylink::control
