#include "table.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Wasabistair::Operators {

namespace {

constexpr std::size_t columnGap = 2;

std::string csvCell(const std::string &cell)
{
    if (cell.find_first_of(",\"\n") == std::string::npos) {
        return cell;
    }
    std::string quoted = "\"";
    for (const char c : cell) {
        quoted += c;
        if (c == '"') {
            quoted += '"';
        }
    }
    return quoted + "\"";
}

std::string csvLine(const std::vector<std::string> &cells)
{
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        line += (i > 0 ? "," : "") + csvCell(cells[i]);
    }
    return line + "\n";
}

} // namespace

Table::Table(std::vector<std::string> columns)
    : columns_(std::move(columns))
{}

void Table::addRow(std::vector<std::string> cells)
{
    cells.resize(columns_.size());
    rows_.push_back(std::move(cells));
}

std::string Table::toText() const
{
    std::vector<std::size_t> widths;
    for (std::size_t i = 0; i < columns_.size(); ++i) {
        std::size_t width = columns_[i].size();
        for (const auto &row : rows_) {
            width = std::max(width, row[i].size());
        }
        widths.push_back(width);
    }
    const auto line = [&](const std::vector<std::string> &cells) {
        std::string text;
        for (std::size_t i = 0; i < cells.size(); ++i) {
            text += cells[i];
            if (i + 1 < cells.size()) {
                text.append(widths[i] - cells[i].size() + columnGap, ' ');
            }
        }
        return text + "\n";
    };
    std::string text = line(columns_);
    for (const auto &row : rows_) {
        text += line(row);
    }
    return text;
}

std::string Table::toJson() const
{
    nlohmann::json array = nlohmann::json::array();
    for (const auto &row : rows_) {
        nlohmann::json object = nlohmann::json::object();
        for (std::size_t i = 0; i < columns_.size(); ++i) {
            object[columns_[i]] = row[i];
        }
        array.push_back(std::move(object));
    }
    return array.dump(2) + "\n";
}

std::string Table::toCsv() const
{
    std::string text = csvLine(columns_);
    for (const auto &row : rows_) {
        text += csvLine(row);
    }
    return text;
}

} // namespace Wasabistair::Operators
