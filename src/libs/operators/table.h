#pragma once

#include <string>
#include <vector>

namespace Wasabistair::Operators {

/// Rows of text with a header, formatted for people or for programs.
class Table
{
public:
    explicit Table(std::vector<std::string> columns);

    void addRow(std::vector<std::string> cells);
    /// Plain text with aligned columns.
    [[nodiscard]] std::string toText() const;
    /// JSON array with one object per row, keyed by column.
    [[nodiscard]] std::string toJson() const;
    /// CSV as in RFC 4180.
    [[nodiscard]] std::string toCsv() const;

private:
    std::vector<std::string> columns_;
    std::vector<std::vector<std::string>> rows_;
};

} // namespace Wasabistair::Operators
