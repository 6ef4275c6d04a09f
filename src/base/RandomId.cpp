#include "rosemarylink/base/RandomId.h"

#include <Poco/HexBinaryEncoder.h>
#include <Poco/RandomStream.h>

#include <array>
#include <sstream>

namespace rosemarylink {

std::string randomHex128()
{
    std::array<char, 16> bytes {};
    Poco::RandomInputStream source;
    source.read(bytes.data(), bytes.size());
    std::ostringstream text;
    Poco::HexBinaryEncoder encoder(text);
    encoder.write(bytes.data(), bytes.size());
    encoder.close();
    return text.str();
}

} // namespace rosemarylink
