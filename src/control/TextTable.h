#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace rosemarylink::control::internal {

// Columns of text, as wide as their widest cell and two spaces apart.
class TextTable {
public:
    explicit TextTable(std::vector<std::string> headers) { rows_.push_back(std::move(headers)); }

    void add(std::vector<std::string> cells) { rows_.push_back(std::move(cells)); }
    bool empty() const { return rows_.size() == 1; }

    friend std::ostream& operator<<(std::ostream&, const TextTable&);

private:
    std::vector<std::vector<std::string>> rows_; // all with as many cells as there are headers
};

} // namespace rosemarylink::control::internal
