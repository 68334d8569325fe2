#include "cbor.h"

namespace Wasabistair::Base {

namespace {

using Json = nlohmann::json;

/// Counts nesting of a CBOR item without building it.
class DepthSax: public Json::json_sax_t
{
public:
    explicit DepthSax(int maxDepth)
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
    // Without building anything: the library's reader recurses, and reserves what an array announces.
    DepthSax sax(maxDepth);
    if (!Json::sax_parse(bytes, bytes + size, &sax, Json::input_format_t::cbor, true)) {
        return std::nullopt;
    }
    try {
        return Json::from_cbor(bytes, bytes + size);
    } catch (const Json::exception &) {
        // What remains, such as text that is no UTF-8, is refused in the same way.
        return std::nullopt;
    }
}

} // namespace Wasabistair::Base
