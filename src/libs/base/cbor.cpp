#include "cbor.h"

namespace Wasabistair::Base {

namespace {

using Json = nlohmann::json;

/// SAX handler that aborts parsing when a CBOR value nests too deep; builds no value.
class DepthChecker: public Json::json_sax_t
{
public:
    explicit DepthChecker(int maxDepth)
        : maxDepth_(maxDepth)
    {}

    bool null() override
    {
        return true;
    }
    bool boolean(bool) override
    {
        return true;
    }
    bool number_integer(number_integer_t) override
    {
        return true;
    }
    bool number_unsigned(number_unsigned_t) override
    {
        return true;
    }
    bool number_float(number_float_t, const string_t &) override
    {
        return true;
    }
    bool string(string_t &) override
    {
        return true;
    }
    bool binary(binary_t &) override
    {
        return true;
    }
    bool start_object(std::size_t) override
    {
        return ++depth_ <= maxDepth_;
    }
    bool key(string_t &) override
    {
        return true;
    }
    bool end_object() override
    {
        --depth_;
        return true;
    }
    bool start_array(std::size_t) override
    {
        return ++depth_ <= maxDepth_;
    }
    bool end_array() override
    {
        --depth_;
        return true;
    }
    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override
    {
        return false;
    }

private:
    const int maxDepth_;
    int depth_ = 0;
};

} // namespace

std::optional<Json> readCbor(const std::uint8_t *bytes, std::size_t size, int maxDepth)
{
    // Checks the depth before a value is built: from_cbor() recurses once per level and reserves the size that an array declares.
    DepthChecker checker(maxDepth);
    if (!Json::sax_parse(bytes, bytes + size, &checker, Json::input_format_t::cbor, true)) {
        return std::nullopt;
    }
    try {
        return Json::from_cbor(bytes, bytes + size);
    } catch (const Json::exception &) {
        // Errors that only show while the value is built, such as text that is not valid UTF-8.
        return std::nullopt;
    }
}

} // namespace Wasabistair::Base
