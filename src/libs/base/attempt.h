#pragma once

#include <boost/leaf.hpp>

#include <optional>
#include <utility>

namespace Wasabistair::Base {

namespace Leaf = boost::leaf;

template<typename T>
using Result = Leaf::result<T>;

/// Result of attempt(): exactly one of value and error is set.
template<typename T, typename E>
struct Outcome {
    std::optional<T> value;
    std::optional<E> error;

    explicit operator bool() const
    {
        return value.has_value();
    }
};

/// Runs @p function, which returns Result<T>, and captures a failure of type E.
/// A failure of any other type is reported as @p fallback.
template<typename E, typename F>
auto attempt(F &&function, E fallback)
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
