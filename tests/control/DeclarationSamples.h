#pragma once

#include "rosemarylink/control/DeclarationFiles.h"

#include <string>

namespace rosemarylink::control {

// SHA-256 of "harbor-key-1", "harbor-key-2" and "depot-key-1".
extern const std::string harborHash1;
extern const std::string harborHash2;
extern const std::string depotHash1;

// Two accounts, "harbor" and "depot", with one guarantee each.
std::string sampleDeployment();
std::string sampleAccounts();
model::Declarations sampleDeclarations();

} // namespace rosemarylink::control
