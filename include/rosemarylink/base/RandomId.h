#pragma once

#include "rosemarylink/base/StrongId.h"

#include <string>

namespace rosemarylink {

// Returns 128 bits from the operating system's random source in hexadecimal. Safe to use from several threads.
std::string randomHex128();

// Makes a globally unique id, for operations, requests and keys that the system assigns. Safe to use from several
// threads.
template <typename Id> Id makeRandomId() { return Id(randomHex128()); }

} // namespace rosemarylink
