#pragma once

#include <boost/leaf.hpp>

#include <optional>
#include <utility>

namespace Wasabistair::Base {

namespace Leaf = boost::leaf;

template<typename T>
using Result = Leaf::result<T>;

/// Either a value or a captured error: exactly one of them is set.
template<typename T, typename E>
struct Outcome {
    std::optional<T> value;
    std::optional<E> error;

    explicit operator bool() const
    {
        return value.has_value();
    }
};

/// Calls @p function, which returns Result<T>, and converts its error of type E to a plain value.
/// An error of any other type is replaced by @p fallback.
template<typename E, typename F>
auto captureError(F &&function, E fallback)
{
    using T = std::decay_t<decltype(function().value())>;
    using Out = Outcome<T, E>;
    return Leaf::try_handle_all(
        [&]() -> Result<Out> {
            auto result = function();
            if (!result) {
                return result.error();
            }
            return Out{std::move(result.value()), std::nullopt};
        },
        [](const E &error) {
            return Out{std::nullopt, error};
        },
        [&]() {
            return Out{std::nullopt, fallback};
        });
}

} // namespace Wasabistair::Base
