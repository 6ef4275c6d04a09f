#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/generated/Model.h"

#include <string>
#include <vector>

namespace rosemarylink::control {

// One INI file of a directory of declarations.
struct DeclarationFile {
    std::string path; // for messages
    std::string text;
};

// Reads declarations from the sections [preset], [weights], [account NAME], [guarantee ACCOUNT/NAME] and [worth KIND],
// which may be spread over the files as the operators like. The result is normalized and passes checkDeclarations. An
// error has one line for each problem, with file, line, section, key, value and what is allowed.
Result<model::Declarations> parseDeclarationFiles(const std::vector<DeclarationFile>&);

// The files of an export, named by their last path component: deployment.ini with preset, weights and worths, and
// account-NAME.ini for each account with its guarantees. parseDeclarationFiles gives the same declarations back.
std::vector<DeclarationFile> formatDeclarations(const model::Declarations&);

// Reads all files *.ini of a directory. Fails on a subdirectory, whose files would be missed.
Result<model::Declarations> readDeclarationDirectory(const std::string& directory);

// Writes an export, creating the directory. Fails when it holds *.ini files, unless they are to be replaced; then files
// that the export does not have are removed after the others have been written.
Status writeDeclarationDirectory(const std::string& directory, const model::Declarations&, bool replace);

} // namespace rosemarylink::control
