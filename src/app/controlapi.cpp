#include "controlapi.h"

#include <steering/entryorder.h>

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Wasabistair::App {

namespace {

using Callers::ExecutionState;
using Callers::Problem;
using Callers::ProblemKind;
using Json = nlohmann::json;

const std::string jsonType = "application/json";

/// Decoded value of a query parameter; empty if it is missing or malformed.
std::string parameter(const std::string &query, const std::string &name)
{
    std::size_t start = 0;
    while (start < query.size()) {
        const std::size_t end = std::min(query.find('&', start), query.size());
        const std::string pair = query.substr(start, end - start);
        if (pair.starts_with(name + "=")) {
            std::string value;
            try {
                Poco::URI::decode(pair.substr(name.size() + 1), value, true);
            } catch (const Poco::Exception &) {
                return {};
            }
            return value;
        }
        start = end + 1;
    }
    return {};
}

std::string hostPort(const Steering::Vm &vm)
{
    return vm.host + ":" + std::to_string(vm.port);
}

} // namespace

ControlApi::ControlApi(RoutingEngine &engine, Callers::Forwarder &forwarder, const Base::Timeline &timeline, ControlSources sources, bool trustClientParameter)
    : engine_(engine)
    , forwarder_(forwarder)
    , timeline_(timeline)
    , sources_(std::move(sources))
    , trustClientParameter_(trustClientParameter)
{}

void ControlApi::handle(Callers::CallerExchange &exchange)
{
    const std::string &target = exchange.request().getURI();
    if (const auto match = engine_.match(Callers::requestHost(exchange.request()), target)) {
        forwarder_.forward(exchange, *match);
        return;
    }
    const std::size_t mark = target.find('?');
    const std::string query = mark == std::string::npos ? "" : target.substr(mark + 1);
    handleControl(exchange, target.substr(0, mark), query);
}

void ControlApi::handleControl(Callers::CallerExchange &exchange, const std::string &path, const std::string &query)
{
    static const std::vector<std::string> paths = {"/v1/lookup", "/v1/status", "/v1/timeline", "/healthz", "/readyz", "/metrics"};
    if (std::find(paths.begin(), paths.end(), path) == paths.end()) {
        const bool control = path.starts_with("/v1/");
        exchange.answer(Problem{control ? ProblemKind::NoSuchResource : ProblemKind::NoSuchService, ExecutionState::NotExecuted});
        return;
    }
    const std::string &method = exchange.request().getMethod();
    if (method != "GET" && method != "HEAD") {
        exchange.answer(Problem{ProblemKind::MethodNotAllowed, ExecutionState::NotExecuted});
    } else if (path == "/v1/lookup") {
        handleLookup(exchange, query);
    } else if (path == "/v1/status") {
        exchange.answer(200, jsonType, sources_.status().dump());
    } else if (path == "/v1/timeline") {
        exchange.answer(200, jsonType, Json(timeline_.all()).dump());
    } else if (path == "/metrics") {
        exchange.answer(200, "text/plain; version=0.0.4", sources_.metrics());
    } else if (path == "/readyz") {
        handleReady(exchange);
    } else {
        exchange.answer(200, "text/plain", "ok\n");
    }
}

void ControlApi::handleReady(Callers::CallerExchange &exchange)
{
    if (engine_.isDraining()) {
        exchange.answer(Problem{ProblemKind::Draining, ExecutionState::NotExecuted});
    } else if (!engine_.isReady()) {
        exchange.answer(Problem{ProblemKind::NotReady, ExecutionState::NotExecuted});
    } else {
        exchange.answer(200, "text/plain", "ready\n");
    }
}

void ControlApi::handleLookup(Callers::CallerExchange &exchange, const std::string &query)
{
    const std::string service = parameter(query, "service");
    const std::string given = trustClientParameter_ ? parameter(query, "client") : "";
    std::uint32_t address = 0;
    if (!Steering::parseIpv4(given.empty() ? exchange.callerAddress() : given, address)) {
        exchange.answer(Problem{ProblemKind::MalformedRequest, ExecutionState::NotExecuted});
        return;
    }
    std::string body;
    std::int64_t maxAge = 0;
    const auto problem = engine_.tablePointer().read([&](const Steering::RoutingTable &table) -> std::optional<ProblemKind> {
        if (table.configuration->generation == 0) {
            return ProblemKind::NotReady;
        }
        const auto index = Steering::findService(table, service);
        if (!index) {
            return ProblemKind::NoSuchService;
        }
        const Steering::EntryOrder order = Steering::rankEntryVms(table, address);
        if (order.vms.empty()) {
            return ProblemKind::NotReady;
        }
        const Steering::ServiceEntry &entry = table.services[*index];
        maxAge = entry.service->lookupMaxAgeSeconds;
        Json vms = Json::array();
        for (const std::uint32_t vm : order.vms) {
            vms.push_back({{"address", hostPort(table.entryVms[vm])}, {"zone", table.entryVms[vm].zone}});
        }
        const std::string region = order.site ? table.configuration->objects.sites[*order.site].region : table.ownRegion;
        Json places = Json::array();
        const auto near = entry.placesByRegion.find(region);
        if (near != entry.placesByRegion.end()) {
            for (const std::uint16_t place : near->second) {
                places.push_back(table.places[place].place.name);
            }
        }
        body = Json{{"service", service}, {"site", order.site ? table.configuration->objects.sites[*order.site].name : ""},
            {"generation", table.configuration->generation}, {"maxAgeSeconds", maxAge}, {"places", places}, {"entryVms", vms}}
                   .dump();
        return std::nullopt;
    });
    if (problem) {
        exchange.answer(Problem{*problem, ExecutionState::NotExecuted});
        return;
    }
    exchange.answer(200, jsonType, body, {{"Cache-Control", "max-age=" + std::to_string(maxAge)}});
}

} // namespace Wasabistair::App
