#pragma once

#include "rosemarylink/base/RandomId.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace rosemarylink::control {

// A directory for one test, removed by the destructor.
class TemporaryDirectory {
public:
    TemporaryDirectory()
        : path_(std::filesystem::temp_directory_path() / ("rosemarylink-control-" + randomHex128()))
    {
        std::filesystem::create_directories(path_);
    }
    ~TemporaryDirectory()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    TemporaryDirectory(const TemporaryDirectory&) = delete;
    TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

    std::string path() const { return path_.string(); }

    // Writes a file and returns its path.
    std::string write(const std::string& name, const std::string& text) const
    {
        std::ofstream(path_ / name) << text;
        return (path_ / name).string();
    }

    void makeSubdirectory(const std::string& name) const { std::filesystem::create_directory(path_ / name); }

    // The names of all entries, sorted.
    std::vector<std::string> files() const
    {
        std::vector<std::string> names;
        for (const auto& entry : std::filesystem::directory_iterator(path_))
            names.push_back(entry.path().filename().string());
        std::sort(names.begin(), names.end());
        return names;
    }

private:
    std::filesystem::path path_;
};

} // namespace rosemarylink::control
