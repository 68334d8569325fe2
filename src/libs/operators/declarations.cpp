#include "declarations.h"

#include <steering/check.h>

#include <Poco/DateTime.h>
#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeParser.h>

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>

namespace Wasabistair::Operators {

namespace {

using Json = nlohmann::json;
using Steering::FieldType;
using Steering::ValidationError;
using Steering::ValidationErrorKind;

constexpr std::uintmax_t maxFileBytes = 64U << 20;
constexpr int maxDepth = 8;
constexpr std::int64_t usPerMs = 1000;

/// Position of an object and its fields in the declaration files.
struct Location {
    std::string file;
    int line = 0;
    std::map<std::string, int> fieldLines;
};

std::optional<std::int64_t> parseInteger(const std::string &text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

std::optional<std::int64_t> parseTime(const std::string &text)
{
    Poco::DateTime time;
    int zone = 0;
    const bool parsed = Poco::DateTimeParser::tryParse(Poco::DateTimeFormat::ISO8601_FRAC_FORMAT, text, time, zone);
    if (!parsed || text.find('T') == std::string::npos) {
        return std::nullopt;
    }
    time.makeUTC(zone);
    return time.timestamp().epochMicroseconds() / usPerMs;
}

Json scalarToJson(const YAML::Node &node)
{
    const std::string &text = node.Scalar();
    const bool quoted = node.Tag() == "!";
    if (quoted) {
        return text;
    }
    if (text == "true" || text == "false") {
        return text == "true";
    }
    const auto integer = parseInteger(text);
    return integer ? Json(*integer) : Json(text);
}

class FileReader
{
public:
    FileReader(std::filesystem::path path, std::vector<LocatedFault> &faults)
        : path_(std::move(path))
        , faults_(faults)
    {}

    void read(std::vector<Json> &objects, std::vector<Location> &locations)
    {
        std::error_code error;
        if (std::filesystem::file_size(path_, error) > maxFileBytes || error) {
            add(ValidationErrorKind::Syntax, 0, "the file cannot be read or is larger than 64 MiB");
            return;
        }
        try {
            for (const YAML::Node &document : YAML::LoadAllFromFile(path_.string())) {
                if (document.IsNull()) {
                    continue;
                }
                Location location{path_.string(), lineOf(document), {}};
                objects.push_back(convert(document, "", location, 0));
                locations.push_back(std::move(location));
            }
        } catch (const YAML::Exception &problem) {
            add(ValidationErrorKind::Syntax, problem.mark.line + 1, problem.msg);
        }
    }

private:
    static int lineOf(const YAML::Node &node)
    {
        return node.Mark().line + 1;
    }

    void add(ValidationErrorKind kind, int line, const std::string &hint)
    {
        faults_.push_back({{kind, "?/?", "", "", hint}, path_.string(), line});
    }

    Json convert(const YAML::Node &node, const std::string &field, Location &location, int depth)
    {
        if (depth > maxDepth) {
            add(ValidationErrorKind::Syntax, lineOf(node), "nested too deeply");
            return {};
        }
        location.fieldLines.try_emplace(field, lineOf(node));
        if (node.IsScalar()) {
            return scalarToJson(node);
        }
        if (node.IsSequence()) {
            Json array = Json::array();
            for (std::size_t i = 0; i < node.size(); ++i) {
                array.push_back(convert(node[i], field + "[" + std::to_string(i) + "]", location, depth + 1));
            }
            return array;
        }
        if (node.IsMap()) {
            return convertMap(node, field, location, depth);
        }
        return {};
    }

    Json convertMap(const YAML::Node &node, const std::string &field, Location &location, int depth)
    {
        Json object = Json::object();
        for (const auto &entry : node) {
            const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : std::string("?");
            const std::string path = field.empty() ? key : field + "." + key;
            if (object.contains(key)) {
                add(ValidationErrorKind::DuplicateName, lineOf(entry.first), "the field " + path + " is given twice");
            }
            location.fieldLines[path] = lineOf(entry.first);
            object[key] = convert(entry.second, path, location, depth + 1);
        }
        return object;
    }

    const std::filesystem::path path_;
    std::vector<LocatedFault> &faults_;
};

class Loader
{
public:
    explicit Loader(std::string directory)
        : directory_(std::move(directory))
    {}

    Declarations run()
    {
        readFiles();
        for (std::size_t i = 0; i < objects_.size(); ++i) {
            checkObject(i);
        }
        Json converted = Json::array();
        for (const Json &object : objects_) {
            converted.push_back(object);
        }
        if (result_.faults.empty()) {
            result_.objects = Steering::objectsFromJson(converted);
            readClients();
        }
        if (result_.faults.empty()) {
            for (const ValidationError &fault : Steering::checkObjects(result_.objects)) {
                result_.faults.push_back(locate(fault));
            }
        }
        std::stable_sort(result_.faults.begin(), result_.faults.end(),
            [](const LocatedFault &left, const LocatedFault &right) { return std::tie(left.file, left.line) < std::tie(right.file, right.line); });
        return std::move(result_);
    }

private:
    void readFiles()
    {
        std::error_code error;
        std::vector<std::filesystem::path> paths;
        for (const auto &entry : std::filesystem::directory_iterator(directory_, error)) {
            const std::string extension = entry.path().extension().string();
            if (extension == ".yaml" || extension == ".yml") {
                paths.push_back(entry.path());
            }
        }
        if (error || paths.empty()) {
            result_.faults.push_back({{ValidationErrorKind::Syntax, "?/?", "", directory_, "no directory with *.yaml files"}, directory_, 0});
        }
        std::sort(paths.begin(), paths.end());
        for (const auto &path : paths) {
            FileReader(path, result_.faults).read(objects_, locations_);
        }
    }

    void checkObject(std::size_t index)
    {
        Json &object = objects_[index];
        convertTimes(object);
        std::vector<ValidationError> faults;
        Steering::checkSchema(object, faults);
        for (const ValidationError &fault : faults) {
            result_.faults.push_back({fault, locations_[index].file, lineOf(locations_[index], fault.field)});
        }
    }

    static void convertTimes(Json &object)
    {
        const Steering::KindSpec *spec
            = object.is_object() && object.contains("kind") && object["kind"].is_string() ? Steering::findKind(object["kind"].get<std::string>()) : nullptr;
        if (!spec) {
            return;
        }
        for (const Steering::FieldSpec &field : spec->fields) {
            if (field.type != FieldType::Time || !object.contains(field.name) || !object[field.name].is_string()) {
                continue;
            }
            if (const auto time = parseTime(object[field.name].get<std::string>())) {
                object[field.name] = *time;
            }
        }
    }

    static int lineOf(const Location &location, const std::string &field)
    {
        std::string path = field;
        while (!path.empty()) {
            const auto found = location.fieldLines.find(path);
            if (found != location.fieldLines.end()) {
                return found->second;
            }
            const std::size_t cut = path.find_last_of(".[");
            path = cut == std::string::npos ? "" : path.substr(0, cut);
        }
        return location.line;
    }

    LocatedFault locate(const ValidationError &fault) const
    {
        for (std::size_t i = 0; i < objects_.size(); ++i) {
            if (Steering::objectLabel(objects_[i]) == fault.object) {
                return {fault, locations_[i].file, lineOf(locations_[i], fault.field)};
            }
        }
        const auto block = blockLocations_.find(fault.object);
        if (block != blockLocations_.end()) {
            return {fault, block->second.first, block->second.second};
        }
        return {fault, directory_, 0};
    }

    void readClients()
    {
        for (std::size_t i = 0; i < objects_.size(); ++i) {
            if (objects_[i]["kind"] != "Clients") {
                continue;
            }
            const Json &blocks = objects_[i]["blocks"];
            for (std::size_t j = 0; j < blocks.size(); ++j) {
                const std::string field = "blocks[" + std::to_string(j) + "]";
                addBlock(blocks[j]["prefix"], blocks[j]["site"], locations_[i].file, lineOf(locations_[i], field));
            }
            const std::string file = objects_[i]["file"];
            if (!file.empty()) {
                readBlockFile(std::filesystem::path(locations_[i].file).parent_path() / file, i);
            }
        }
    }

    void readBlockFile(const std::filesystem::path &path, std::size_t index)
    {
        std::ifstream in(path);
        if (!in) {
            const ValidationError fault{
                ValidationErrorKind::MissingReference, Steering::objectLabel(objects_[index]), "file", path.string(), "the file cannot be read"};
            result_.faults.push_back({fault, locations_[index].file, lineOf(locations_[index], "file")});
            return;
        }
        std::string text;
        for (int line = 1; std::getline(in, text); ++line) {
            if (text.empty() || text.front() == '#') {
                continue;
            }
            const std::size_t comma = text.find(',');
            addBlock(text.substr(0, comma), comma == std::string::npos ? "" : text.substr(comma + 1), path.string(), line);
        }
    }

    void addBlock(const std::string &prefix, const std::string &site, const std::string &file, int line)
    {
        Steering::ClientBlock block;
        block.site = site;
        if (!Steering::parsePrefix(prefix, block.address, block.prefixLength)) {
            const ValidationError fault{ValidationErrorKind::BadPrefix, "Clients/" + prefix, "prefix", prefix, "expected a.b.c.d/n without host bits"};
            result_.faults.push_back({fault, file, line});
            return;
        }
        blockLocations_.try_emplace("Clients/" + prefix, file, line);
        result_.objects.clientBlocks.push_back(std::move(block));
    }

    const std::string directory_;
    Declarations result_;
    std::vector<Json> objects_;
    std::vector<Location> locations_;
    std::map<std::string, std::pair<std::string, int>> blockLocations_;
};

} // namespace

Declarations loadDeclarations(const std::string &directory)
{
    return Loader(directory).run();
}

std::string toString(const LocatedFault &fault)
{
    std::ostringstream out;
    out << fault.file << ':' << fault.line << ": " << fault.fault.object << ": ";
    if (!fault.fault.field.empty()) {
        out << fault.fault.field << ": ";
    }
    out << Steering::toString(fault.fault.kind);
    if (!fault.fault.given.empty()) {
        out << " (given: " << fault.fault.given << ")";
    }
    if (!fault.fault.hint.empty()) {
        out << ": " << fault.fault.hint;
    }
    return out.str();
}

} // namespace Wasabistair::Operators
