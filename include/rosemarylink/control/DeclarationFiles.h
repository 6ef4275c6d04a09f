#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/generated/Model.h"

#include <string>
#include <vector>

namespace rosemarylink::control {

// One INI file of declarations.
struct DeclarationFile {
    std::string path; // shown in error messages
    std::string text;
};

// Parses the sections [preset], [weights], [account NAME], [guarantee ACCOUNT/NAME] and [worth KIND]. Any file may
// contain any section. The result is normalized and passes checkDeclarations. The error message has one line for each
// problem, with file, line, section, key, value and the allowed values.
Result<model::Declarations> parseDeclarationFiles(const std::vector<DeclarationFile>&);

// Returns the files of an export; the paths are plain file names. deployment.ini holds preset, weights and worths, and
// account-NAME.ini an account with its guarantees. parseDeclarationFiles restores the same declarations.
std::vector<DeclarationFile> formatDeclarations(const model::Declarations&);

// Reads all files *.ini of a directory. Fails if there is a subdirectory, because its files would not be read.
Result<model::Declarations> readDeclarationDirectory(const std::string& directory);

// Writes an export, and creates the directory if needed. Fails if the directory contains *.ini files, unless replace is
// set; *.ini files that are not part of the export are then removed after the export has been written.
Status writeDeclarationDirectory(const std::string& directory, const model::Declarations&, bool replace);

} // namespace rosemarylink::control
