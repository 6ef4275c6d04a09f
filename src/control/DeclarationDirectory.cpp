#include "rosemarylink/control/DeclarationFiles.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace rosemarylink::control {

namespace fs = std::filesystem;

namespace {

    bool isHidden(const fs::path& path) { return path.filename().string().front() == '.'; }

    bool isIniFile(const fs::directory_entry& entry)
    {
        return entry.is_regular_file() && entry.path().extension() == ".ini" && !isHidden(entry.path());
    }

    Result<std::vector<fs::path>> listIniFiles(const std::string& directory, bool refuseSubdirectories)
    {
        std::error_code error;
        std::vector<fs::path> paths;
        for (const auto& entry : fs::directory_iterator(directory, error)) {
            if (refuseSubdirectories && entry.is_directory() && !isHidden(entry.path())) {
                return invalidArgument(entry.path().string()
                    + ": subdirectories are not read; all declarations must be files *.ini in " + directory);
            }
            if (isIniFile(entry))
                paths.push_back(entry.path());
        }
        if (error)
            return invalidArgument(directory + ": the directory cannot be read: " + error.message());
        std::sort(paths.begin(), paths.end());
        return paths;
    }

    Status writeFile(const fs::path& path, const std::string& text)
    {
        std::ofstream output(path, std::ios::trunc);
        output << text;
        output.close();
        if (!output)
            return makeError(ErrorCode::Internal, path.string() + ": the file cannot be written");
        return okStatus();
    }

    fs::path temporaryName(const fs::path& path)
    {
        return path.parent_path() / ("." + path.filename().string() + ".new");
    }

    // Writes all files under temporary names first, so that a full disk leaves the existing files unchanged.
    Status writeAll(const fs::path& directory, const std::vector<DeclarationFile>& files)
    {
        for (const DeclarationFile& file : files) {
            BOOST_OUTCOME_TRYV(writeFile(temporaryName(directory / file.path), file.text));
        }
        for (const DeclarationFile& file : files) {
            std::error_code error;
            fs::rename(temporaryName(directory / file.path), directory / file.path, error);
            if (error)
                return makeError(ErrorCode::Internal,
                    (directory / file.path).string() + ": the file cannot be replaced: " + error.message());
        }
        return okStatus();
    }

} // namespace

Result<model::Declarations> readDeclarationDirectory(const std::string& directory)
{
    BOOST_OUTCOME_TRY(paths, listIniFiles(directory, true));
    if (paths.empty())
        return invalidArgument(directory + ": there are no files *.ini; a directory of declarations has at least one");
    std::vector<DeclarationFile> files;
    for (const fs::path& path : paths) {
        std::ifstream input(path);
        std::ostringstream text;
        text << input.rdbuf();
        if (!input)
            return invalidArgument(path.string() + ": the file cannot be read");
        files.push_back({ path.string(), text.str() });
    }
    return parseDeclarationFiles(files);
}

Status writeDeclarationDirectory(const std::string& directory, const model::Declarations& declarations, bool replace)
{
    std::error_code error;
    fs::create_directories(directory, error);
    if (error)
        return invalidArgument(directory + ": the directory cannot be created: " + error.message());
    BOOST_OUTCOME_TRY(existing, listIniFiles(directory, false));
    if (!existing.empty() && !replace) {
        return invalidArgument(directory + ": there are " + std::to_string(existing.size())
            + " files *.ini already; choose an empty directory, or pass --replace");
    }
    const std::vector<DeclarationFile> files = formatDeclarations(declarations);
    BOOST_OUTCOME_TRYV(writeAll(directory, files));
    std::set<fs::path> written;
    for (const DeclarationFile& file : files)
        written.insert(fs::path(directory) / file.path);
    for (const fs::path& path : existing) {
        if (written.count(path) == 0)
            fs::remove(path, error);
    }
    return error ? Status(makeError(ErrorCode::Internal, directory + ": " + error.message())) : okStatus();
}

} // namespace rosemarylink::control
