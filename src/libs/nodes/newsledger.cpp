#include "newsledger.h"

#include <steering/hash.h>

#include <algorithm>

namespace Wasabistair::Nodes {

namespace {

std::size_t indexOf(NewsKind kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

bool isAppointedReader(const std::string &zone, const std::string &vm, const std::vector<std::string> &living)
{
    const std::uint64_t seed = Steering::mixedHash(Steering::hashOf(zone));
    const auto placeOf = [&](const std::string &name) { return Steering::mixedHash(Steering::hashOf(name) ^ seed); };
    const std::uint64_t own = placeOf(vm);
    const auto others = std::count_if(living.begin(), living.end(), [&](const std::string &other) { return other != vm; });
    const auto before = std::count_if(living.begin(), living.end(), [&](const std::string &other) { return other != vm && placeOf(other) < own; });
    return static_cast<std::size_t>(others) < smallZone || static_cast<std::size_t>(before) < readersPerZone;
}

NewsLedger::NewsLedger(Base::MonotonicMs startedAt)
    : startedAt_(startedAt)
{}

void NewsLedger::hear(const NewsRevisions &revisions, bool fromReader, Base::MonotonicMs now)
{
    const std::lock_guard lock(mutex_);
    for (std::size_t i = 0; i < newsKindCount; ++i) {
        newest_.at(i) = std::max(newest_.at(i), revisions.at(i));
    }
    if (fromReader) {
        readerHeardAt_ = now;
    }
}

void NewsLedger::note(NewsKind kind, std::uint64_t revision)
{
    const std::lock_guard lock(mutex_);
    own_.at(indexOf(kind)) = std::max(own_.at(indexOf(kind)), revision);
    newest_.at(indexOf(kind)) = std::max(newest_.at(indexOf(kind)), revision);
}

void NewsLedger::limit(NewsKind kind, std::uint64_t asOf)
{
    const std::lock_guard lock(mutex_);
    newest_.at(indexOf(kind)) = std::min(newest_.at(indexOf(kind)), asOf);
}

NewsRevisions NewsLedger::own() const
{
    const std::lock_guard lock(mutex_);
    return own_;
}

std::uint64_t NewsLedger::newest(NewsKind kind) const
{
    const std::lock_guard lock(mutex_);
    return newest_.at(indexOf(kind));
}

void NewsLedger::setAppointed(bool appointed)
{
    const std::lock_guard lock(mutex_);
    appointed_ = appointed;
}

bool NewsLedger::isAppointed() const
{
    const std::lock_guard lock(mutex_);
    return appointed_;
}

bool NewsLedger::mustRead(Base::MonotonicMs now) const
{
    const std::lock_guard lock(mutex_);
    const std::int64_t age = now - startedAt_;
    if (age < (appointed_ ? appointmentGraceMs : startGraceMs)) {
        return false;
    }
    return appointed_ || !readerHeardAt_ || now - *readerHeardAt_ > readerSilenceMs;
}

void NewsLedger::setReading(bool reading)
{
    const std::lock_guard lock(mutex_);
    reading_ = reading;
}

bool NewsLedger::isReading() const
{
    const std::lock_guard lock(mutex_);
    return reading_;
}

bool LagClock::isLate(std::uint64_t known, std::uint64_t newest, Base::MonotonicMs now)
{
    if (known >= newest) {
        behindSince_.reset();
        return false;
    }
    if (!behindSince_) {
        behindSince_ = now;
    }
    return now - *behindSince_ >= lagToleranceMs;
}

} // namespace Wasabistair::Nodes
