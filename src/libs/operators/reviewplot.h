#pragma once

#include "review.h"

#include <string>

namespace Wasabistair::Operators {

/// Renders latency quantiles, headroom and drain times of one month as SVG.
[[nodiscard]] std::string reviewPlot(const Figures &figures, const std::string &month);

/// Share of usable units that were free, averaged over all samples, in percent; 0 without samples.
[[nodiscard]] double meanHeadroomPercent(const PlaceFigures &figures);

} // namespace Wasabistair::Operators
