#include "lease.h"

#include <nlohmann/json.hpp>

namespace Wasabistair::Platform {

namespace {

using Json = nlohmann::json;

/// Margin for clocks that run at different rates: a contender waits this much longer, in 1/10.
constexpr std::int64_t marginDivisor = 10;

std::string encode(const LeaseRecord &record)
{
    return Json{{"holder", record.holder}, {"incarnation", record.incarnation}, {"epoch", record.epoch}, {"durationMs", record.durationMs}}.dump();
}

LeaseRecord decode(const std::string &bytes)
{
    const Json json = Json::parse(bytes, nullptr, false);
    LeaseRecord record;
    if (json.is_object()) {
        record.holder = json.value("holder", "");
        record.incarnation = json.value("incarnation", std::uint64_t{0});
        record.epoch = json.value("epoch", std::uint64_t{0});
        record.durationMs = json.value("durationMs", std::int64_t{0});
    }
    return record;
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
    return seen_.epoch;
}

void Lease::observe(const VersionedValue &value)
{
    if (known_ && value.version == version_) {
        return;
    }
    known_ = true;
    version_ = value.version;
    seen_ = decode(value.value);
    seenSince_ = clock_.monotonic();
}

bool Lease::write(std::uint64_t epoch, std::int64_t durationMs)
{
    const Base::MonotonicMs before = clock_.monotonic();
    const LeaseRecord record{holder_, incarnation_, epoch, durationMs};
    const auto written = tryStore([&] { return store_.put(key_, encode(record), version_); });
    if (!written) {
        // A lost answer may hide a success: the next refresh() reads the object and finds itself.
        return false;
    }
    version_ = *written.value;
    seen_ = record;
    seenSince_ = before;
    known_ = true;
    heldUntil_ = before + durationMs;
    return true;
}

bool Lease::refresh()
{
    const bool held = isHeld();
    if (held && write(seen_.epoch, durationMs_)) {
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
    observe(*value.value);
    const bool ours = seen_.holder == holder_ && seen_.incarnation == incarnation_;
    if (ours) {
        return write(seen_.epoch, durationMs_) && isHeld();
    }
    heldUntil_ = 0;
    const std::int64_t term = seen_.durationMs + seen_.durationMs / marginDivisor;
    if (clock_.monotonic() - seenSince_ < term) {
        return false;
    }
    return write(seen_.epoch + 1, durationMs_) && isHeld();
}

void Lease::release()
{
    if (isHeld()) {
        heldUntil_ = 0;
        write(seen_.epoch, 0);
        heldUntil_ = 0;
    }
}

} // namespace Wasabistair::Platform
