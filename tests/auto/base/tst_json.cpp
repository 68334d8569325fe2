#include <doctest/doctest.h>

#include <base/json.h>

#include <rapidcheck.h>

#include <chrono>
#include <string>

using namespace Wasabistair::Base;
using Json = nlohmann::json;

namespace {

std::string nested(int levels)
{
    return std::string(static_cast<std::size_t>(levels), '[') + std::string(static_cast<std::size_t>(levels), ']');
}

/// Texts that are hard to split: brackets, quotes and backslashes inside strings.
const std::vector<std::string> &awkwardTexts()
{
    static const std::vector<std::string> texts = {"", "plain", "]", "}", "[{", "\"", "\\", "\\\"", "a,b", "a:b", " \t\r\n", "\xc3\xa9", "{\"a\":1}"};
    return texts;
}

Json randomValue(int depth)
{
    switch (*rc::gen::inRange<int>(0, depth > 0 ? 7 : 5)) {
    case 0:
        return nullptr;
    case 1:
        return *rc::gen::arbitrary<bool>();
    case 2:
        return *rc::gen::arbitrary<std::int64_t>();
    case 3:
        return 0.5 * *rc::gen::inRange<int>(-1'000, 1'000);
    case 4:
        return *rc::gen::elementOf(awkwardTexts());
    case 5: {
        Json list = Json::array();
        for (int i = *rc::gen::inRange<int>(0, 4); i > 0; --i) {
            list.push_back(randomValue(depth - 1));
        }
        return list;
    }
    default: {
        Json object = Json::object();
        for (int i = *rc::gen::inRange<int>(0, 4); i > 0; --i) {
            object["k" + std::to_string(i)] = randomValue(depth - 1);
        }
        return object;
    }
    }
}

/// Joins the parts of a value again, each parsed on its own.
Json joined(const std::string &text)
{
    const auto parts = splitJson(text);
    RC_ASSERT(parts.has_value());
    Json value = text.find_first_not_of(" \t\r\n") != std::string::npos && text[text.find_first_not_of(" \t\r\n")] == '{' ? Json::object() : Json::array();
    for (const JsonPart &part : *parts) {
        JsonRead read = readJson(part.value);
        RC_ASSERT(!read.fault.has_value());
        if (value.is_object()) {
            value[std::string(part.key)] = read.value;
        } else {
            value.push_back(read.value);
        }
    }
    return value;
}

} // namespace

TEST_CASE("json_nestedUpToTheLimit_isRead")
{
    CHECK_FALSE(readJson(nested(maxJsonDepth)).fault);
    CHECK((readJson(nested(maxJsonDepth + 1)).fault == JsonFault::TooDeep));
    // Brackets in texts are no nesting.
    CHECK_FALSE(readJson("\"" + std::string(1'000, '[') + "\"").fault);
    CHECK_FALSE(readJson("[\"\\\"" + std::string(1'000, '[') + "\"]").fault);
}

TEST_CASE("json_nestedMillionsOfLevels_isRejectedWithoutExhaustingTheStack")
{
    CHECK((readJson(nested(2'000'000)).fault == JsonFault::TooDeep));
    CHECK((readJson(std::string(2'000'000, '[')).fault == JsonFault::TooDeep));
    std::string objects;
    for (int i = 0; i < 100'000; ++i) {
        objects += "{\"a\":";
    }
    CHECK((readJson(objects).fault == JsonFault::TooDeep));
    CHECK_FALSE(splitJson(std::string(2'000'000, '[')));
    CHECK(splitJson(nested(2'000'000))->size() == 1);
}

TEST_CASE("json_bytesThatAreNoValue_areMalformed")
{
    for (const char *text : {"", " ", "{", "[1,]", "{\"a\"}", "tru", "\"\xff\"", "1e400", "\"open", "1 2"}) {
        CAPTURE(text);
        CHECK((readJson(text).fault == JsonFault::Malformed));
    }
}

TEST_CASE("split_partsThatCantBeRead_dontAffectTheOthers")
{
    const auto parts = splitJson("{\"a\": 1e400 , \"b\":\"\xff\",\"c\":[1],\"c\":2}");
    REQUIRE(parts);
    CHECK(parts->size() == 4);
    CHECK((readJson(findMember(*parts, "a")).fault == JsonFault::Malformed));
    CHECK((readJson(findMember(*parts, "b")).fault == JsonFault::Malformed));
    CHECK(readJson(findMember(*parts, "c")).value == 2);
    CHECK(findMember(*parts, "d").empty());
}

TEST_CASE("split_textThatIsNoObjectOrArrayOrEndsEarly_isRejected")
{
    for (const char *text : {"", "1", "\"a\"", "{", "[", "[1", "[1,", "{\"a\"", "{\"a\":", "{\"a\":1", "{a:1}", "[1 2]", "[,1]", "{\"a\":,}", "{\"a"}) {
        CAPTURE(text);
        CHECK_FALSE(splitJson(text));
    }
    CHECK(splitJson(" [ ] ")->empty());
    CHECK(splitJson("{}")->empty());
}

TEST_CASE("split_anyValue_partsMatchTheParsedWhole")
{
    CHECK(rc::check([] {
        Json value = *rc::gen::arbitrary<bool>() ? Json::object() : Json::array();
        for (int i = *rc::gen::inRange<int>(0, 5); i > 0; --i) {
            if (value.is_object()) {
                value["m" + std::to_string(i)] = randomValue(3);
            } else {
                value.push_back(randomValue(3));
            }
        }
        const std::string text = value.dump(*rc::gen::inRange<int>(-1, 3));
        RC_ASSERT(joined(text) == value);
    }));
}

TEST_CASE("split_textHasAnythingBehindTheValue_isRejected")
{
    for (const char *text : {"{}}", "[]]", "{\"a\":1}}", "[1]]", "[1] x"}) {
        CAPTURE(text);
        CHECK_FALSE(splitJson(text));
    }
}

TEST_CASE("prefix_laterMemberDoesntEnd_membersBeforeAreRead")
{
    const JsonPrefix prefix = splitJsonPrefix(R"( {"a":[1], "b":"x", "c":{"d":1)");
    CHECK(prefix.members == std::vector<JsonPart>{{"a", "[1]"}, {"b", R"("x")"}});
    CHECK(prefix.rest == JsonPart{"c", R"({"d":1)"});
    CHECK((splitJsonPrefix(R"({"a":1,"b":[2],"c":3})", "b") == JsonPrefix{{{"a", "1"}}, {"b", R"([2],"c":3})"}}));
    CHECK((splitJsonPrefix(R"({"a":1})") == JsonPrefix{{{"a", "1"}}, {}}));
    for (const char *text : {"", "[1]", "{", "1", "{1}"}) {
        CAPTURE(text);
        CHECK((splitJsonPrefix(text) == JsonPrefix{}));
    }
}

TEST_CASE("splitList_someElementsAreDamaged_allElementsAreFound")
{
    // Guards against an element with unmatched brackets or quotes that takes its neighbours along.
    CHECK(rc::check([] {
        const std::string damage = "[]{}\",\\ a";
        std::vector<std::string> elements;
        std::string list;
        for (int i = *rc::gen::inRange<int>(0, 8); i > 0; --i) {
            std::string value = randomValue(3).dump();
            for (int changes = *rc::gen::inRange<int>(0, 3); changes > 0; --changes) {
                const auto at = *rc::gen::inRange<std::size_t>(0, value.size() + 1);
                const char character = damage.at(*rc::gen::inRange<std::size_t>(0, damage.size()));
                value = *rc::gen::arbitrary<bool>() ? value.substr(0, at) : value.insert(at, 1, character);
            }
            elements.push_back(R"({"key":)" + std::to_string(i) + R"(,"value":)" + value + R"(,"last":null})");
            list += (list.empty() ? "" : *rc::gen::element<std::string>(",", " , ", "\n,")) + elements.back();
        }
        const std::string text = R"({"as-of":7,"list":[)" + list + R"(],"more":false})";
        const auto read = splitJsonList(text, "list", {"key"});
        RC_ASSERT(read.has_value());
        RC_ASSERT(findMember(read->members, "as-of") == "7");
        RC_ASSERT(findMember(read->members, "more") == "false");
        RC_ASSERT(read->elements.size() == elements.size());
        for (std::size_t i = 0; i < elements.size(); ++i) {
            RC_ASSERT(read->elements[i].text == elements[i]);
        }
    }));
}

TEST_CASE("splitList_validElementHoldsTextLikeASeparator_staysWhole")
{
    const std::string nestedList = R"({"key":1,"copy":[{"key":2},{"key":3}]})";
    const std::string damaged = R"({"key":4,"value":[})";
    const std::string text = R"({"list":[)" + damaged + "," + nestedList + "," + damaged + "," + nestedList + "]}";
    const auto read = splitJsonList(text, "list", {"key"});
    REQUIRE(read);
    CHECK(read->elements == std::vector<JsonElement>{{damaged, true}, {nestedList, false}, {damaged, true}, {nestedList, false}});
}

TEST_CASE("splitList_manyElementsAreDamaged_takesTimeProportionalToTheSize")
{
    std::string list;
    for (int i = 0; i < 100'000; ++i) {
        list += std::string(i == 0 ? "" : ",") + R"({"key":[})";
    }
    const auto begin = std::chrono::steady_clock::now();
    const auto read = splitJsonList(R"({"list":[)" + list + "]}", "list", {"key"});
    const auto took = std::chrono::steady_clock::now() - begin;
    REQUIRE(read);
    CHECK(read->elements.size() == 100'000);
    // With a scan to the end of the list for each element, 1 MB would take minutes.
    CHECK(took < std::chrono::seconds(2));
}

TEST_CASE("splitList_textIsNoObjectWithTheList_isRejected")
{
    for (const char *text : {"", "[]", "{}", R"({"list":1})", R"({"list":[})", R"({"list":[],"a"})", R"({"list":[]}})", R"({"other":[]})"}) {
        CAPTURE(text);
        CHECK_FALSE(splitJsonList(text, "list", {"key"}));
    }
    CHECK(splitJsonList(R"({"list":[ ]})", "list", {"key"})->elements.empty());
}

TEST_CASE("split_anyBytes_partsLieInTheText")
{
    CHECK(rc::check([] {
        const std::string characters = "[]{}\",:\\ a1";
        std::string text;
        for (int i = *rc::gen::inRange<int>(0, 40); i > 0; --i) {
            text += characters.at(*rc::gen::inRange<std::size_t>(0, characters.size()));
        }
        if (const auto parts = splitJson(text)) {
            for (const JsonPart &part : *parts) {
                RC_ASSERT(part.value.data() >= text.data());
                RC_ASSERT(part.value.data() + part.value.size() <= text.data() + text.size());
            }
        }
        (void)readJson(text);
        (void)splitJsonPrefix(text);
        (void)splitJsonList("{\"a\":[" + text, "a", {"a"});
    }));
}
