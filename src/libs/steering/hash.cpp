#include "hash.h"

#include <xxhash.h>

namespace Wasabistair::Steering {

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace Wasabistair::Steering
