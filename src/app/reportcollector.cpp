#include "reportcollector.h"

#include <base/json.h>

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

/// Decompresses at most maxBodyBytes; empty if malformed.
std::string inflated(const std::string &bytes)
{
    std::istringstream in(bytes);
    Poco::InflatingInputStream stream(in);
    std::string text(maxBodyBytes, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return text;
}

/// Reads, changes and conditionally writes one object. @p change returns the new bytes, or nothing to cancel the update.
/// Returns false if the update was cancelled or a call to the store failed.
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

std::string statusKey(const std::string &group)
{
    return statusPrefix() + group;
}

std::string reportGroupName(const std::string &zone, std::size_t group)
{
    return zone + "." + std::to_string(group);
}

std::string encodeReport(const Json &status, const std::string &month, const Operators::Figures &figures)
{
    return deflated(Json{{"status", status}, {"month", month}, {"figures", Operators::figuresToJson(figures)}}.dump());
}

ReportCollector::ReportCollector(Platform::ObjectStore &store, const Base::Clock &clock, std::string group, std::string vm, std::uint64_t incarnation)
    : store_(store)
    , clock_(clock)
    , group_(std::move(group))
    , lease_(store, clock, "wasabistair/leases/reports-" + group_, std::move(vm), incarnation, leaseMs)
{}

void ReportCollector::receive(const Nodes::VmReport &report)
{
    const Json json = Base::readJson(inflated(report.body)).value;
    if (!json.is_object() || !json.contains("status") || !json.contains("month") || !json["month"].is_string() || !json.contains("figures")) {
        return;
    }
    const auto figures = Operators::figuresFromJson(json["figures"]);
    if (!figures) {
        return;
    }
    const std::lock_guard lock(mutex_);
    const Operators::VmIncarnation source{report.node, report.incarnation};
    reports_[{source, json["month"].get<std::string>()}] = {clock_.monotonic(), json["status"].dump(), *figures};
}

void ReportCollector::flush(bool eligible)
{
    if (!eligible) {
        lease_.release();
        return;
    }
    if (!lease_.refresh()) {
        return;
    }
    Reports reports;
    {
        const std::lock_guard lock(mutex_);
        std::erase_if(reports_, [this](const auto &entry) { return clock_.monotonic() - entry.second.at > reportRetentionMs; });
        reports = reports_;
    }
    writeStatus(reports);
    std::set<std::string> months;
    for (const auto &[key, received] : reports) {
        months.insert(key.second);
    }
    for (const std::string &month : months) {
        writeReview(month, reports);
    }
}

void ReportCollector::writeStatus(const Reports &reports)
{
    // The status in the report of the latest month wins.
    std::map<Operators::VmIncarnation, const ReceivedReport *> latest;
    for (const auto &[key, received] : reports) {
        if (clock_.monotonic() - received.at <= statusRetentionMs) {
            latest[key.first] = &received;
        }
    }
    Json vms = Json::array();
    for (const auto &[source, received] : latest) {
        vms.push_back(Base::readJson(received->status).value);
    }
    const std::uint64_t epoch = lease_.epoch();
    update(store_, statusKey(group_), [&](const std::string &before) -> std::optional<std::string> {
        const Json old = Base::readJson(before).value;
        // A higher epoch means that this process was paused, lost the lease, and a later holder has written.
        const bool hasEpoch = old.is_object() && old.contains("epoch") && old["epoch"].is_number_unsigned();
        const bool fenced = hasEpoch && old["epoch"].get<std::uint64_t>() > epoch;
        if (fenced || !lease_.isHeld()) {
            return std::nullopt;
        }
        return Json{{"epoch", epoch}, {"group", group_}, {"wall", clock_.wall()}, {"vms", vms}}.dump();
    });
}

std::vector<Operators::VmIncarnation> ReportCollector::finishedSources(
    const Operators::ReviewObject &review, const std::string &month, const Reports &reports) const
{
    std::map<std::string, std::uint64_t> latest;
    for (const auto &[source, figures] : review.live) {
        latest[source.vm] = source.incarnation;
    }
    std::vector<Operators::VmIncarnation> result;
    for (const auto &[source, figures] : review.live) {
        const bool superseded = source.incarnation < latest[source.vm];
        const bool expired = clock_.wall() - figures.asOf > retireAfterMs;
        if ((superseded || expired) && !reports.contains({source, month})) {
            result.push_back(source);
        }
    }
    return result;
}

void ReportCollector::writeReview(const std::string &month, const Reports &reports)
{
    update(store_, Operators::reviewKey(month, group_), [&](const std::string &before) -> std::optional<std::string> {
        std::optional<Operators::ReviewObject> kept = before.empty() ? Operators::ReviewObject{} : Operators::decodeReview(before);
        if (!kept || !lease_.isHeld()) {
            return std::nullopt;
        }
        Operators::ReviewObject &review = *kept;
        for (const auto &[key, received] : reports) {
            if (key.second == month) {
                review.put(key.first, received.figures);
            }
        }
        for (const Operators::VmIncarnation &source : finishedSources(review, month, reports)) {
            review.retire(source, clock_.wall());
        }
        return Operators::encodeReview(review);
    });
}

void ReportCollector::release()
{
    lease_.release();
}

} // namespace Wasabistair::App
