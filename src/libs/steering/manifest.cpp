#include "manifest.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

/// Whether @p homes, which is empty if all regions are homes, includes @p region.
bool contains(const std::vector<std::string> &homes, std::string_view region)
{
    return homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
}

} // namespace

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

int priorityOf(const RequestRules &rules)
{
    return rules.team != nullptr ? rules.team->priority.value_or(rules.route->priority) : rules.route->priority;
}

bool isHomeRegion(const RequestRules &rules, std::string_view region)
{
    return contains(rules.route->homeRegions, region) && (rules.team == nullptr || contains(rules.team->homeRegions, region));
}

} // namespace Wasabistair::Steering
