#pragma once

#include "rosemarylink/base/Error.h"

#include <map>
#include <string>
#include <vector>

namespace rosemarylink {

// One "key = value" line of an INI file.
struct IniEntry {
    std::string key;
    std::string value;
    int line = 0;
};

// One section; entries before the first header belong to a section with an empty name.
struct IniSection {
    std::string name;
    int line = 0;
    std::vector<IniEntry> entries;
};

struct IniDocument {
    std::string file; // as given by the caller, for messages
    std::vector<IniSection> sections;
};

// Parses INI text. Lines that start with ';' or '#' are comments. Fails on a line that is neither a header nor an
// entry, on a repeated section and on a repeated key; the message names the file, line, section and key.
// Poco::Util::IniFileConfiguration is not used because it keeps neither line numbers nor duplicates.
Result<IniDocument> parseIni(const std::string& text, const std::string& file);

// Reads and parses a file.
Result<IniDocument> readIniFile(const std::string& path);

} // namespace rosemarylink
