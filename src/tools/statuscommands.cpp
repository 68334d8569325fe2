#include "commands.h"

#include "commandsupport.h"
#include "vmclient.h"

#include <app/reportcollector.h>
#include <base/json.h>
#include <base/timeline.h>
#include <operators/review.h>
#include <platform/publication.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <tuple>

namespace Wasabistair::Tools {

using namespace Internal;
using Operators::Table;
using Platform::ObjectStore;

namespace {

using Json = nlohmann::json;

/// Status of every listed VM: queried from the VM, or as last reported by its zone if the VM can't be reached.
std::map<std::string, Json> allStatus(ObjectStore &store, const std::vector<Steering::Vm> &vms)
{
    std::map<std::string, Json> result;
    const auto keys = Platform::tryStore([&] { return store.list(App::statusPrefix()); });
    for (const std::string &key : keys ? *keys.value : std::vector<std::string>()) {
        const auto value = Platform::tryStore([&] { return store.get(key); });
        const Json json = value ? Base::readJson(value.value->value).value : Json();
        for (const Json &vm : json.is_object() ? json.value("vms", Json::array()) : Json::array()) {
            if (vm.is_object()) {
                result[vm.value("vm", "")] = vm;
                result[vm.value("vm", "")]["source"] = "reported";
            }
        }
    }
    for (const auto &[id, answer] : queryVms(vms, "/v1/status", vmTimeoutMs)) {
        if (answer.body.is_object()) {
            result[id] = answer.body;
            result[id]["source"] = "asked";
        }
    }
    return result;
}

void printShifts(const std::map<std::string, Json> &status, OutputFormat format)
{
    std::map<std::string, Json> sums;
    for (const auto &[vm, json] : status) {
        for (const Json &shift : json.value("shifts", Json::array())) {
            Json &sum = sums[shift["name"]];
            sum["active"] = shift["active"];
            sum["cap"] = shift["capPermille"] > 0 ? displayText(shift["capPermille"]) + "/1000" : displayText(shift["capRequestsPerSecond"]) + "/s";
            sum["moved"] = sum.value("moved", 0) + shift["moved"].get<int>();
            sum["stayed"] = sum.value("stayed", 0) + shift["stayed"].get<int>();
        }
    }
    Table table({"shift", "active", "cap", "moved", "stayed"});
    for (const auto &[name, sum] : sums) {
        table.addRow({name, displayText(sum["active"]), displayText(sum["cap"]), displayText(sum["moved"]), displayText(sum["stayed"])});
    }
    if (!sums.empty()) {
        print(table, format);
    }
}

void printStops(const std::map<std::string, Json> &status, OutputFormat format)
{
    std::map<std::string, Operators::StopFigures> sums;
    for (const auto &[vm, json] : status) {
        for (const Json &stop : json.value("stops", Json::array())) {
            const Operators::StopFigures figures{stop["start"], stop["lastEnd"], stop["inFlight"]};
            const auto [entry, added] = sums.try_emplace(stop["name"], figures);
            if (!added) {
                entry->second = entry->second.mergedWith(figures);
            }
        }
    }
    Table table({"planned stop", "start", "in flight", "last end"});
    for (const auto &[name, sum] : sums) {
        table.addRow({name, timeText(sum.start), std::to_string(sum.inFlight), timeText(sum.lastEnd)});
    }
    if (!sums.empty()) {
        print(table, format);
    }
}

} // namespace

ExitCode statusCommand(ObjectStore &store, const CommandOptions &options)
{
    const auto list = Platform::tryStore([&] { return store.vms(); });
    if (!list) {
        return platformFailed(*list.error);
    }
    const std::vector<Steering::Vm> vms = entryVms(*list.value);
    const std::map<std::string, Json> status = allStatus(store, vms);
    const auto head = Platform::tryStore([&] { return Platform::readHead(store); });
    const std::uint64_t accepted = head && !head.value->head.history.empty() ? head.value->head.current().generation : 0;
    Table table({"vm", "zone", "source", "generation", "in force", "ready", "draining", "slot", "platform", "links", "suspects"});
    for (const Steering::Vm &vm : vms) {
        const auto found = status.find(vm.id);
        if (found == status.end()) {
            table.addRow({vm.id, vm.zone, "no answer", "?", "unknown", "?", "?", "?", "?", "?", ""});
            continue;
        }
        const Json &json = found->second;
        const bool current = json.value("generation", std::uint64_t{0}) >= accepted;
        table.addRow({vm.id, vm.zone, json.value("source", ""), displayText(json["generation"]), current ? "yes" : "lags behind " + std::to_string(accepted),
            displayText(json["ready"]), displayText(json["draining"]), displayText(json["slot"]), json.value("platform", false) ? "reached" : "not reached",
            displayText(json["linksUp"]) + "/" + displayText(json["linksWanted"]), json["suspects"].dump()});
    }
    print(table, options.output);
    printShifts(status, options.output);
    printStops(status, options.output);
    return ExitCode::Ok;
}

ExitCode timelineCommand(ObjectStore &store, const CommandOptions &options)
{
    const auto list = Platform::tryStore([&] { return store.vms(); });
    if (!list) {
        return platformFailed(*list.error);
    }
    std::map<std::tuple<std::string, std::uint64_t, std::uint64_t>, Base::Event> events;
    for (const auto &[vm, answer] : queryVms(entryVms(*list.value), "/v1/timeline", vmTimeoutMs)) {
        for (const Json &json : answer.body.is_array() ? answer.body : Json::array()) {
            const Base::Event event = json.get<Base::Event>();
            events.emplace(std::tuple(event.node, event.incarnation, event.sequence), event);
        }
    }
    std::vector<Base::Event> ordered;
    for (const auto &[key, event] : events) {
        const bool wanted = (options.vm.empty() || event.node == options.vm) && (options.kind.empty() || Base::toString(event.kind) == options.kind);
        if (wanted) {
            ordered.push_back(event);
        }
    }
    std::sort(ordered.begin(), ordered.end(), Base::happensBefore);
    if (options.limit > 0 && ordered.size() > static_cast<std::size_t>(options.limit)) {
        ordered.erase(ordered.begin(), ordered.end() - options.limit);
    }
    Table table({"time", "order", "vm", "incarnation", "generation", "event", "subject", "cause"});
    for (const Base::Event &event : ordered) {
        table.addRow({timeText(event.time.wall), std::to_string(event.time.logical), event.node, std::to_string(event.incarnation),
            std::to_string(event.generation), std::string(Base::toString(event.kind)), event.subject, event.cause});
    }
    print(table, options.output);
    return ExitCode::Ok;
}

ExitCode lookupCommand(ObjectStore &store, const CommandOptions &options)
{
    const auto list = Platform::tryStore([&] { return store.vms(); });
    if (!list) {
        return platformFailed(*list.error);
    }
    std::string path = "/v1/lookup?service=" + options.service;
    if (!options.client.empty()) {
        path += "&client=" + options.client;
    }
    for (const Steering::Vm &vm : entryVms(*list.value)) {
        if (!options.vm.empty() && vm.id != options.vm) {
            continue;
        }
        const auto answer = queryVm({vm.host, vm.port}, path, vmTimeoutMs);
        if (!answer) {
            continue;
        }
        if (options.output == OutputFormat::Json || answer->status != 200) {
            std::cout << answer->body.dump(2) << "\n";
            return answer->status == 200 ? ExitCode::Ok : ExitCode::NotFound;
        }
        std::cout << "answered by " << vm.id << ", generation " << displayText(answer->body["generation"]) << "\n";
        std::cout << "site: " << (answer->body["site"] == "" ? "none; no client block covers the address" : displayText(answer->body["site"])) << "\n";
        std::cout << "entry VMs, in this order:\n";
        for (const Json &entry : answer->body["entryVms"]) {
            std::cout << "  " << displayText(entry["address"]) << " (" << displayText(entry["zone"]) << ")\n";
        }
        std::cout << "places, nearest first:\n";
        for (const Json &place : answer->body["places"]) {
            std::cout << "  " << displayText(place) << "\n";
        }
        return ExitCode::Ok;
    }
    std::cerr << "wasabistairctl: no entry VM could be reached\n";
    return ExitCode::NotFound;
}

} // namespace Wasabistair::Tools
