#include "platformobjects.h"

#include <sstream>

namespace Wasabistair::StandIns {

namespace {

using Json = nlohmann::json;

std::string quotedLoopback(std::uint16_t port)
{
    return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
}

} // namespace

Json upstreamObject(std::uint16_t port, const std::string &zone, const std::string &state)
{
    return {{"address", "127.0.0.1:" + std::to_string(port)}, {"born", 1'785'976'920'000},
        {"info", {{"service", "svc"}, {"version", "v1"}, {"zone", zone}, {"slots", 4}}}, {"status", {{"state", state}, {"seq", 1}, {"cold-left-ms", 0}}}};
}

Json routeObject(const std::string &prefix, const std::string &kind, std::int64_t timeoutMs, int maxAttempts)
{
    return {{"host", "h.example"}, {"path-prefix", prefix}, {"kind", kind}, {"timeout-ms", timeoutMs}, {"target-latency-ms", 300}, {"priority", 1},
        {"service", "svc"}, {"max-attempts", maxAttempts}, {"sticky", true}, {"home-regions", Json::array()}};
}

Json manifestObject(int version, const Json &routes)
{
    return {{"version", version}, {"routes", routes}, {"services", {{"svc", {{"max-connections", 300}, {"cold-start-s", 3.0}, {"cold-per-s", 12.0}}}}},
        {"limits", {{"idle-timeout-ms", 15'000}}}};
}

std::string entrySettings(const EntryVmConfig &place)
{
    std::ostringstream text;
    text << "node-name = \"" << place.vm << "\"\nip = \"127.0.0.1\"\nzone = \"" << place.zone << "\"\nregion = \"" << place.regionOfZone.at(place.zone)
         << "\"\ninner-port-range = [" << place.firstInnerPort << "," << place.lastInnerPort
         << "]\nbounds = [\"grace-s=6\",\"retry-budget-slack=50\"]\n[zones]\n";
    for (const auto &[zone, region] : place.regionOfZone) {
        text << zone << " = \"" << region << "\"\n";
    }
    text << "[listen]\nfront = " << quotedLoopback(place.callerPort) << "ready-addr = " << quotedLoopback(place.readyPort)
         << "directory = " << quotedLoopback(place.lookupPort) << "[platform]\naddress = " << quotedLoopback(place.storePort);
    return text.str();
}

Json sampleUpstream()
{
    return Json::parse(R"({"address":"10.128.0.9:8080","born":1785976920000,
        "info":{"service":"huvo11a","version":"v1","zone":"amman-a","slots":6},
        "status":{"state":"ready","seq":4,"cold-left-ms":0}})");
}

Json sampleManifest()
{
    return Json::parse(R"({"version":7,"routes":{
        "r1":{"host":"h.example","path-prefix":"/a/","kind":"safe","timeout-ms":800,"target-latency-ms":300,"priority":2,
              "traffic-split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max-attempts":2,"sticky":true,"home-regions":[]},
        "r2":{"host":"h.example","path-prefix":"/a/b/","kind":"unsafe","timeout-ms":1000,"priority":1,"service":"s2","max-attempts":2},
        "r3":{"host":"h.example","path-prefix":"/c/","kind":"upload","service":"s2","home-regions":["gulf"]}},
      "services":{"s1":{"health-path":"/health","max-connections":330,"cold-start-s":3.0,"cold-per-s":12.0},"s2":{}},
      "limits":{"max-header-bytes":16384,"idle-timeout-ms":15000}})");
}

} // namespace Wasabistair::StandIns
