#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <random>
#include <string>

namespace Wasabistair::StandIns {

/// Spoils samples in ways that depend on the seed only.
class Mutator
{
public:
    explicit Mutator(std::uint64_t seed);

    /// Flips, drops, repeats and swaps bytes, cuts the end, and puts in characters that mean something to parsers.
    [[nodiscard]] std::string spoilBytes(std::string bytes);
    /// Replaces, removes or duplicates some values of a document, at any depth.
    [[nodiscard]] nlohmann::json spoilJson(nlohmann::json document);

private:
    [[nodiscard]] std::size_t randomBelow(std::size_t limit);
    [[nodiscard]] nlohmann::json unexpectedValue();

    std::mt19937_64 random_;
};

} // namespace Wasabistair::StandIns
