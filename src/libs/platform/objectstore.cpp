#include "objectstore.h"

#include <array>

namespace Wasabistair::Platform {

std::string_view toString(PlatformFailure failure)
{
    static constexpr std::array<std::string_view, 7> names = {
        "unreachable",
        "outcome-unknown",
        "conflict",
        "not-found",
        "refused",
        "too-large",
        "bad-answer",
    };
    return names.at(static_cast<std::size_t>(failure));
}

} // namespace Wasabistair::Platform
