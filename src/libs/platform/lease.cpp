#include "lease.h"

#include <base/json.h>

#include <nlohmann/json.hpp>

namespace Wasabistair::Platform {

namespace {

using Json = nlohmann::json;

/// Contenders wait a tenth of the term beyond its end, because clocks run at different rates.
constexpr std::int64_t clockRateMarginDivisor = 10;

std::string encode(const LeaseRecord &record)
{
    return Json{{"holder", record.holder}, {"incarnation", record.incarnation}, {"epoch", record.epoch}, {"durationMs", record.durationMs}}.dump();
}

LeaseRecord decode(const std::string &bytes)
{
    const Json json = Base::readJson(bytes).value;
    if (!json.is_object()) {
        return {};
    }
    try {
        LeaseRecord record;
        record.holder = json.value("holder", "");
        record.incarnation = json.value("incarnation", std::uint64_t{0});
        record.epoch = json.value("epoch", std::uint64_t{0});
        record.durationMs = json.value("durationMs", std::int64_t{0});
        return record;
    } catch (const Json::exception &) {
        // A field of another type; the lease counts as one that nobody holds, as when the object is malformed.
        return {};
    }
}

} // namespace

Lease::Lease(ObjectStore &store, const Base::Clock &clock, std::string key, std::string holder, std::uint64_t incarnation, std::int64_t durationMs)
    : store_(store)
    , clock_(clock)
    , key_(std::move(key))
    , holder_(std::move(holder))
    , incarnation_(incarnation)
    , durationMs_(durationMs)
{}

bool Lease::isHeld() const
{
    return clock_.monotonic() < heldUntil_;
}

std::uint64_t Lease::epoch() const
{
    return record_.epoch;
}

void Lease::updateRecord(const VersionedValue &value)
{
    if (hasRecord_ && value.version == version_) {
        return;
    }
    hasRecord_ = true;
    version_ = value.version;
    record_ = decode(value.value);
    unchangedSince_ = clock_.monotonic();
}

bool Lease::write(std::uint64_t epoch, std::int64_t durationMs)
{
    const Base::MonotonicMs before = clock_.monotonic();
    const LeaseRecord record{holder_, incarnation_, epoch, durationMs};
    const auto written = tryStore([&] { return store_.put(key_, encode(record), version_); });
    if (!written) {
        // If only the answer was lost, the write took effect; the next refresh() recognises its own record.
        return false;
    }
    version_ = *written.value;
    record_ = record;
    unchangedSince_ = before;
    hasRecord_ = true;
    heldUntil_ = before + durationMs;
    return true;
}

bool Lease::refresh()
{
    const bool wasHeld = isHeld();
    if (wasHeld && write(record_.epoch, durationMs_)) {
        return true;
    }
    const auto value = tryStore([&] { return store_.get(key_); });
    if (!value) {
        if (value.error->failure == PlatformFailure::NotFound) {
            version_ = noVersion;
            return write(1, durationMs_) && isHeld();
        }
        return isHeld();
    }
    updateRecord(*value.value);
    const bool isOwn = record_.holder == holder_ && record_.incarnation == incarnation_;
    if (isOwn) {
        return write(record_.epoch, durationMs_) && isHeld();
    }
    heldUntil_ = 0;
    const std::int64_t takeoverDelayMs = record_.durationMs + record_.durationMs / clockRateMarginDivisor;
    if (clock_.monotonic() - unchangedSince_ < takeoverDelayMs) {
        return false;
    }
    return write(record_.epoch + 1, durationMs_) && isHeld();
}

void Lease::release()
{
    if (isHeld()) {
        heldUntil_ = 0;
        write(record_.epoch, 0);
        heldUntil_ = 0;
    }
}

} // namespace Wasabistair::Platform
