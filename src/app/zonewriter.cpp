#include "zonewriter.h"

#include <nlohmann/json.hpp>

#include <Poco/DeflatingStream.h>
#include <Poco/InflatingStream.h>

#include <set>
#include <sstream>

namespace Wasabistair::App {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxBodyBytes = 512 * 1024;

std::string deflated(const std::string &text)
{
    std::ostringstream out;
    Poco::DeflatingOutputStream stream(out);
    stream << text;
    stream.close();
    return out.str();
}

/// At most maxBodyBytes; empty when malformed.
std::string inflated(const std::string &bytes)
{
    std::istringstream in(bytes);
    Poco::InflatingInputStream stream(in);
    std::string text(maxBodyBytes, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return text;
}

/// Reads, changes and conditionally writes one object. @p change returns the new bytes.
template<typename F>
bool update(Platform::ObjectStore &store, const std::string &key, F &&change)
{
    const auto value = Platform::tryStore([&] { return store.get(key); });
    if (!value && value.error->failure != Platform::PlatformFailure::NotFound) {
        return false;
    }
    const std::string before = value ? value.value->value : std::string();
    const Platform::Version version = value ? value.value->version : Platform::noVersion;
    const std::optional<std::string> after = change(before);
    if (!after || *after == before) {
        return after.has_value();
    }
    return static_cast<bool>(Platform::tryStore([&] { return store.put(key, *after, version); }));
}

} // namespace

std::string statusPrefix()
{
    return "wasabistair/status/";
}

std::string statusKey(const std::string &zone)
{
    return statusPrefix() + zone;
}

std::string encodeReport(const Json &status, const std::string &month, const Operators::Figures &figures)
{
    return deflated(Json{{"status", status}, {"month", month}, {"figures", Operators::figuresToJson(figures)}}.dump());
}

ZoneWriter::ZoneWriter(Platform::ObjectStore &store, const Base::Clock &clock, std::string zone, std::string vm, std::uint64_t incarnation)
    : store_(store)
    , clock_(clock)
    , zone_(std::move(zone))
    , lease_(store, clock, "wasabistair/leases/zone-" + zone_, std::move(vm), incarnation, leaseMs)
{}

void ZoneWriter::receive(const Nodes::Report &report)
{
    const Json json = Json::parse(inflated(report.body), nullptr, false);
    if (!json.is_object() || !json.contains("status") || !json.contains("month") || !json["month"].is_string() || !json.contains("figures")) {
        return;
    }
    const auto figures = Operators::figuresFromJson(json["figures"]);
    if (!figures) {
        return;
    }
    const std::lock_guard lock(mutex_);
    reports_[{report.node, report.incarnation}] = {clock_.monotonic(), json["status"].dump(), json["month"].get<std::string>(), *figures};
}

void ZoneWriter::flush(bool eligible)
{
    if (!eligible) {
        lease_.release();
        return;
    }
    if (!lease_.refresh()) {
        return;
    }
    std::map<Operators::Source, Received> reports;
    {
        const std::lock_guard lock(mutex_);
        std::erase_if(reports_, [this](const auto &entry) { return clock_.monotonic() - entry.second.at > retireAfterMs; });
        reports = reports_;
    }
    writeStatus(reports);
    std::set<std::string> months;
    for (const auto &[source, received] : reports) {
        months.insert(received.month);
    }
    for (const std::string &month : months) {
        writeReview(month, reports);
    }
}

void ZoneWriter::writeStatus(const std::map<Operators::Source, Received> &reports)
{
    Json vms = Json::array();
    for (const auto &[source, received] : reports) {
        if (clock_.monotonic() - received.at <= statusKeepMs) {
            vms.push_back(Json::parse(received.status, nullptr, false));
        }
    }
    const std::uint64_t epoch = lease_.epoch();
    update(store_, statusKey(zone_), [&](const std::string &before) -> std::optional<std::string> {
        const Json old = Json::parse(before, nullptr, false);
        // A later holder of the lease has written: this one was paused.
        const bool fenced = old.is_object() && old.value("epoch", std::uint64_t{0}) > epoch;
        if (fenced || !lease_.isHeld()) {
            return std::nullopt;
        }
        return Json{{"epoch", epoch}, {"zone", zone_}, {"wall", clock_.wall()}, {"vms", vms}}.dump();
    });
}

void ZoneWriter::writeReview(const std::string &month, const std::map<Operators::Source, Received> &reports)
{
    update(store_, Operators::reviewKey(month, zone_), [&](const std::string &before) -> std::optional<std::string> {
        auto review = before.empty() ? Operators::ReviewObject{} : Operators::decodeReview(before).value_or(Operators::ReviewObject{});
        const bool unreadable = !before.empty() && !Operators::decodeReview(before);
        if (unreadable || !lease_.isHeld()) {
            return std::nullopt;
        }
        for (const auto &[source, received] : reports) {
            if (received.month == month) {
                review.put(source, received.figures);
            }
        }
        // An incarnation whose VM has reported under a later one will not report again.
        std::map<std::string, std::uint64_t> latest;
        for (const auto &[source, figures] : review.live) {
            latest[source.vm] = source.incarnation;
        }
        std::vector<Operators::Source> superseded;
        for (const auto &[source, figures] : review.live) {
            if (source.incarnation < latest[source.vm] && !reports.contains(source)) {
                superseded.push_back(source);
            }
        }
        for (const Operators::Source &source : superseded) {
            review.retire(source, clock_.wall());
        }
        return Operators::encodeReview(review);
    });
}

void ZoneWriter::release()
{
    lease_.release();
}

} // namespace Wasabistair::App
