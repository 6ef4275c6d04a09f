#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace rosemarylink::control::internal {

// A table with left-aligned columns, each as wide as its widest cell and separated by two spaces.
class TextTable {
public:
    explicit TextTable(std::vector<std::string> headers) { rows_.push_back(std::move(headers)); }

    void add(std::vector<std::string> cells) { rows_.push_back(std::move(cells)); }
    bool empty() const { return rows_.size() == 1; }

    friend std::ostream& operator<<(std::ostream&, const TextTable&);

private:
    std::vector<std::vector<std::string>> rows_; // the headers first; all rows have the same number of cells
};

} // namespace rosemarylink::control::internal
