#pragma once

#include <string>
#include <vector>

namespace Wasabistair::Operators {

/// Rows of text with a header, for people or for programs.
class Table
{
public:
    explicit Table(std::vector<std::string> columns);

    void addRow(std::vector<std::string> cells);
    /// Aligned columns.
    [[nodiscard]] std::string toText() const;
    /// JSON array of objects by column.
    [[nodiscard]] std::string toJson() const;
    /// RFC 4180.
    [[nodiscard]] std::string toCsv() const;

private:
    std::vector<std::string> columns_;
    std::vector<std::vector<std::string>> rows_;
};

} // namespace Wasabistair::Operators
