#include "TextTable.h"

#include <algorithm>

namespace rosemarylink::control::internal {

std::ostream& operator<<(std::ostream& out, const TextTable& table)
{
    std::vector<std::size_t> widths(table.rows_.front().size());
    for (const auto& row : table.rows_) {
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    for (const auto& row : table.rows_) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            out << row[column];
            if (column + 1 < row.size())
                out << std::string(widths[column] - row[column].size() + 2, ' ');
        }
        out << "\n";
    }
    return out;
}

} // namespace rosemarylink::control::internal
