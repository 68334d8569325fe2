#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <random>
#include <string>

namespace Wasabistair::StandIns {

/// Mutates valid inputs for robustness tests. The sequence of mutations depends on the seed only.
class Mutator
{
public:
    explicit Mutator(std::uint64_t seed);

    /// Overwrites, removes, repeats and swaps bytes, truncates the input, and inserts tokens that are significant to HTTP and JSON parsers.
    [[nodiscard]] std::string mutateBytes(std::string bytes);
    /// Replaces, removes or duplicates up to four values of a document, at any depth.
    [[nodiscard]] nlohmann::json mutateJson(nlohmann::json document);

private:
    /// Random number from 0 to @p limit - 1; 0 if @p limit is 0.
    [[nodiscard]] std::size_t randomBelow(std::size_t limit);
    /// A JSON value of an unusual type or size.
    [[nodiscard]] nlohmann::json unexpectedValue();

    std::mt19937_64 random_;
};

} // namespace Wasabistair::StandIns
