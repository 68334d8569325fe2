#include "slotclaim.h"

#include "vmlist.h"

#include <base/json.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Wasabistair::Platform {

namespace {

using Json = nlohmann::json;

} // namespace

std::string encodeSlots(const SlotOwners &owners)
{
    Json json = Json::object();
    for (const auto &[index, owner] : owners) {
        json[std::to_string(index)] = {{"vm", owner.vm}, {"incarnation", owner.incarnation}, {"confirmations", owner.confirmations}};
    }
    return json.dump();
}

std::optional<SlotOwners> decodeSlots(const std::string &bytes)
{
    try {
        SlotOwners owners;
        const Json parsed = Base::readJson(bytes).value;
        if (!parsed.is_object()) {
            return std::nullopt;
        }
        for (const auto &[key, value] : parsed.items()) {
            owners[std::stoll(key)]
                = {value.at("vm").get<std::string>(), value.at("incarnation").get<std::uint64_t>(), value.at("confirmations").get<std::uint64_t>()};
        }
        return owners;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

SlotClaim::SlotClaim(ObjectStore &store, const Base::Clock &clock, std::string region, std::string vm, std::uint64_t incarnation)
    : store_(store)
    , clock_(clock)
    , region_(std::move(region))
    , key_("wasabistair/slots/" + region_)
    , self_{std::move(vm), incarnation, 0}
    , lastTick_(clock.monotonic())
    , lastContact_(clock.monotonic())
{}

bool SlotClaim::isMissingLongEnough(const SlotOwner &owner, const VmList &list)
{
    if (findVm(list, owner.vm)) {
        missingSince_.erase(owner);
        return false;
    }
    const Base::MonotonicMs now = clock_.monotonic();
    const auto [entry, added] = missingSince_.try_emplace(owner, now);
    return now - entry->second >= takeoverDelayMs;
}

bool SlotClaim::isSuperseded(const SlotOwners &owners) const
{
    const auto isLater = [this](const auto &entry) { return entry.second.vm == self_.vm && entry.second.incarnation > self_.incarnation; };
    return std::any_of(owners.begin(), owners.end(), isLater);
}

bool SlotClaim::mustConfirm() const
{
    const std::lock_guard lock(mutex_);
    return !confirmed_;
}

std::optional<std::int64_t> SlotClaim::chooseSlot(const SlotOwners &owners, const VmList &list, std::int64_t vmSlots)
{
    for (const auto &[index, owner] : owners) {
        if (owner.vm == self_.vm && index < vmSlots) {
            return index;
        }
    }
    for (std::int64_t index = 0; index < vmSlots; ++index) {
        if (!owners.contains(index)) {
            return index;
        }
    }
    std::optional<std::int64_t> missing;
    for (const auto &[index, owner] : owners) {
        if (index < vmSlots && isMissingLongEnough(owner, list) && !missing) {
            missing = index;
        }
    }
    return missing;
}

bool SlotClaim::refresh(const VmList &list, std::int64_t vmSlots)
{
    const Base::MonotonicMs before = clock_.monotonic();
    if (before - lastRefresh_ > maxRefreshGapMs) {
        missingSince_.clear();
    }
    lastRefresh_ = before;
    if (!findVm(list, self_.vm)) {
        return false;
    }
    const auto value = tryStore([&] { return store_.get(key_); });
    SlotOwners owners;
    Version version = noVersion;
    if (value) {
        const auto decoded = decodeSlots(value.value->value);
        if (!decoded) {
            return false;
        }
        owners = *decoded;
        version = value.value->version;
    } else if (value.error->failure != PlatformFailure::NotFound) {
        return false;
    }
    const auto index = isSuperseded(owners) ? std::nullopt : chooseSlot(owners, list, vmSlots);
    if (!index) {
        const std::lock_guard lock(mutex_);
        index_.reset();
        confirmed_ = false;
        return false;
    }
    const auto owner = owners.find(*index);
    const bool isRestarted = owner != owners.end() && owner->second.vm == self_.vm && owner->second.incarnation != self_.incarnation;
    const bool isOwn = owner != owners.end() && owner->second.vm == self_.vm && owner->second.incarnation == self_.incarnation;
    if (!isOwn || mustConfirm()) {
        // The changed entry makes contenders restart their takeover delay.
        const std::uint64_t confirmations = isOwn ? owner->second.confirmations + 1 : 0;
        owners[*index] = {self_.vm, self_.incarnation, confirmations};
        if (!tryStore([&] { return store_.put(key_, encodeSlots(owners), version); })) {
            return false;
        }
    }
    // After a pause since the read, the confirmation would be stale.
    if (clock_.monotonic() - before >= maxPauseMs) {
        return false;
    }
    return confirm(*index, isRestarted);
}

bool SlotClaim::confirm(std::int64_t index, bool isRestarted)
{
    const std::lock_guard lock(mutex_);
    const Base::MonotonicMs now = clock_.monotonic();
    if (isRestarted && !index_) {
        gainHoldUntil_ = now + restartDelayMs;
    }
    index_ = index;
    confirmed_ = true;
    lastTick_ = now;
    lastContact_ = now;
    return true;
}

void SlotClaim::tick()
{
    const std::lock_guard lock(mutex_);
    const Base::MonotonicMs now = clock_.monotonic();
    if (now - lastTick_ >= maxPauseMs || isIsolated(now)) {
        confirmed_ = false;
    }
    lastTick_ = now;
}

bool SlotClaim::isIsolated(Base::MonotonicMs now) const
{
    return regionPeerCount_ > 0 && now - lastContact_ >= isolationTimeoutMs;
}

void SlotClaim::applyList(const VmList &list)
{
    const std::lock_guard lock(mutex_);
    if (list.version < listVersion_) {
        return;
    }
    listVersion_ = list.version;
    if (!findVm(list, self_.vm)) {
        confirmed_ = false;
    }
}

void SlotClaim::recordContact()
{
    const std::lock_guard lock(mutex_);
    const Base::MonotonicMs now = clock_.monotonic();
    if (isIsolated(now)) {
        confirmed_ = false;
    }
    lastContact_ = now;
}

void SlotClaim::setOtherEntryVmCount(std::size_t count)
{
    const std::lock_guard lock(mutex_);
    regionPeerCount_ = count;
}

std::optional<Steering::VmSlot> SlotClaim::usable() const
{
    const std::lock_guard lock(mutex_);
    const Base::MonotonicMs now = clock_.monotonic();
    const bool wasPaused = now - lastTick_ >= maxPauseMs;
    if (!index_ || !confirmed_ || wasPaused || isIsolated(now)) {
        return std::nullopt;
    }
    return Steering::VmSlot{region_, *index_};
}

Base::MonotonicMs SlotClaim::gainHoldUntil() const
{
    const std::lock_guard lock(mutex_);
    return gainHoldUntil_;
}

void SlotClaim::release()
{
    std::optional<std::int64_t> index;
    {
        const std::lock_guard lock(mutex_);
        index = std::exchange(index_, std::nullopt);
        confirmed_ = false;
    }
    if (!index) {
        return;
    }
    const auto value = tryStore([&] { return store_.get(key_); });
    auto owners = value ? decodeSlots(value.value->value) : std::nullopt;
    if (!owners || !owners->contains(*index) || owners->at(*index).vm != self_.vm || owners->at(*index).incarnation != self_.incarnation) {
        return;
    }
    owners->erase(*index);
    // If this fails, another VM takes the slot over once the platform's list no longer contains this VM.
    static_cast<void>(tryStore([&] { return store_.put(key_, encodeSlots(*owners), value.value->version); }));
}

} // namespace Wasabistair::Platform
