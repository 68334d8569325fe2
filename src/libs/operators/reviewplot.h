#pragma once

#include "review.h"

#include <string>

namespace Wasabistair::Operators {

/// SVG with latency quantiles, headroom and drain times of one month, for the review.
[[nodiscard]] std::string reviewPlot(const Figures &figures, const std::string &month);

/// Share of usable units that was not in use, averaged over all samples, in percent.
[[nodiscard]] double meanHeadroomPercent(const PlaceFigures &figures);

} // namespace Wasabistair::Operators
