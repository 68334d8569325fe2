#include "manifest.h"

#include <algorithm>

namespace Wasabistair::Steering {

void sortRoutes(std::vector<RouteRule> &routes)
{
    std::sort(routes.begin(), routes.end(), [](const RouteRule &left, const RouteRule &right) {
        if (left.host != right.host) {
            return left.host < right.host;
        }
        if (left.pathPrefix.size() != right.pathPrefix.size()) {
            return left.pathPrefix.size() > right.pathPrefix.size();
        }
        return left.pathPrefix < right.pathPrefix;
    });
}

const RouteRule *findRoute(const Manifest &manifest, std::string_view host, std::string_view path)
{
    auto route = std::lower_bound(
        manifest.routes.begin(), manifest.routes.end(), host, [](const RouteRule &candidate, std::string_view wanted) { return candidate.host < wanted; });
    for (; route != manifest.routes.end() && route->host == host; ++route) {
        if (path.starts_with(route->pathPrefix)) {
            return &*route;
        }
    }
    return nullptr;
}

const std::string &selectService(const RouteRule &route, double point)
{
    double sum = 0;
    for (const ServiceWeight &part : route.services) {
        sum += part.weight;
    }
    double cumulative = 0;
    for (const ServiceWeight &part : route.services) {
        cumulative += part.weight;
        if (point * sum < cumulative) {
            return part.service;
        }
    }
    return route.services.back().service;
}

bool isHomeRegion(const RouteRule &route, std::string_view region)
{
    return route.homeRegions.empty() || std::find(route.homeRegions.begin(), route.homeRegions.end(), region) != route.homeRegions.end();
}

} // namespace Wasabistair::Steering
