#include "quotaexchange.h"

#include <base/log.h>

#include <Poco/Exception.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <sstream>

namespace Wasabistair::Nodes {

namespace {

using Base::LogLevel;

// A request without a token waits this long: enough to hear from the own region's keeper and then from another region's.
constexpr std::int64_t maxWaitMs = 90;
// The first port of the inner range carries heartbeats, the last one metrics.
constexpr int portAfterPeerPort = 1;
constexpr std::int64_t receivePollMs = 200;
constexpr std::int64_t tickIntervalMs = 200;
constexpr std::int64_t refusalLogIntervalMs = 1'000;

} // namespace

QuotaExchange::QuotaExchange(const Steering::EntryVm &self, bool isPartByZone, const Steering::QuotaTerms &terms, const Base::Clock &clock)
    : isPartByZone_(isPartByZone)
    , self_(self)
    , clock_(clock)
    , member_(quotaVm(self), terms)
{}

QuotaExchange::~QuotaExchange()
{
    closing_ = true;
    if (receiver_.joinable()) {
        receiver_.join();
    }
}

Steering::QuotaVm QuotaExchange::quotaVm(const Steering::EntryVm &vm) const
{
    return {vm.name, isPartByZone_ ? vm.zone : vm.region, vm.incarnation, vm.confirmedKeeper, vm.provisional};
}

void QuotaExchange::addRegisteredVms(const std::map<std::string, Steering::EntryVm> &vms)
{
    std::vector<Steering::QuotaVm> registered;
    for (const auto &[name, vm] : vms) {
        registered.push_back(quotaVm(vm));
    }
    Steering::QuotaOutbox outbox;
    std::vector<Datagram> datagrams;
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[name, vm] : vms) {
            addresses_[name] = {vm.ip, static_cast<std::uint16_t>(vm.peerPort + portAfterPeerPort)};
        }
        member_.addRegistered(registered, clock_.monotonic(), outbox);
        datagrams = takeDatagrams(outbox);
    }
    if (started_) {
        send(datagrams);
    }
}

void QuotaExchange::setTerms(const Steering::QuotaTerms &terms)
{
    const std::lock_guard lock(mutex_);
    member_.setTerms(terms, clock_.monotonic());
}

void QuotaExchange::setTeams(const Steering::TeamDirectory &teams)
{
    std::unordered_map<std::string, Steering::TeamLimit> limits;
    for (const Steering::TeamRule &team : teams.teams()) {
        if (team.limit.requestsPerSecond > 0) {
            limits.emplace(team.name, team.limit);
        }
    }
    if (limits.empty() && !started_) {
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        member_.setLimits(std::move(limits), clock_.monotonic());
    }
    if (!started_) {
        startThread();
    }
}

void QuotaExchange::startThread()
{
    const auto port = static_cast<std::uint16_t>(self_.peerPort + portAfterPeerPort);
    try {
        socket_.bind(Poco::Net::SocketAddress(self_.ip, port), true);
    } catch (const Poco::Exception &error) {
        // Tried again with the next change of the configuration; until then no VM grants this one anything.
        Base::log(LogLevel::Error, "quota-port-unusable", {{"port", port}, {"cause", error.displayText()}});
        return;
    }
    receiver_ = std::thread([this] { receiveLoop(); });
    started_ = true;
}

Steering::TeamAdmission QuotaExchange::admit(const Steering::TeamRule &team, std::int64_t deadlineMs)
{
    if (team.limit.requestsPerSecond <= 0) {
        return {};
    }
    Steering::QuotaOutbox outbox;
    std::unique_lock lock(mutex_);
    const Base::MonotonicMs now = clock_.monotonic();
    auto validUntilMs = member_.begin(team.name, now, outbox);
    if (validUntilMs) {
        const auto datagrams = takeDatagrams(outbox);
        lock.unlock();
        send(datagrams);
        return {true, 0, *validUntilMs};
    }
    validUntilMs = waitForToken(team.name, std::min(deadlineMs, now + maxWaitMs), lock);
    if (validUntilMs) {
        return {true, 0, *validUntilMs};
    }
    const Base::MonotonicMs refusedAt = clock_.monotonic();
    const Steering::TeamAdmission refused = member_.refuse(team.name, team.limit, refusedAt);
    logRefusal(team.name, refused, refusedAt);
    return refused;
}

std::optional<std::int64_t> QuotaExchange::waitForToken(const std::string &team, Base::MonotonicMs deadline, std::unique_lock<std::mutex> &lock)
{
    std::optional<std::int64_t> validUntilMs;
    member_.beginWait(team);
    while (true) {
        Steering::QuotaOutbox outbox;
        validUntilMs = member_.lookAgain(team, clock_.monotonic(), outbox);
        if (!outbox.empty()) {
            const auto datagrams = takeDatagrams(outbox);
            lock.unlock();
            send(datagrams);
            lock.lock();
            if (!validUntilMs) {
                // Answers may have come meanwhile.
                continue;
            }
        }
        const Base::MonotonicMs now = clock_.monotonic();
        const auto chance = validUntilMs || now >= deadline ? std::nullopt : member_.nextChance(team, now, deadline);
        if (!chance) {
            break;
        }
        tokensCame_.wait_for(lock, std::chrono::milliseconds(std::max<std::int64_t>(1, *chance - now)));
    }
    member_.endWait(team);
    return validUntilMs;
}

void QuotaExchange::refund(const Steering::TeamRule &team, const Steering::TeamAdmission &admission)
{
    if (team.limit.requestsPerSecond > 0 && admission.validUntilMs > 0) {
        const std::lock_guard lock(mutex_);
        member_.giveBack(team.name, admission.validUntilMs, clock_.monotonic());
    }
}

void QuotaExchange::logRefusal(const std::string &team, const Steering::TeamAdmission &admission, Base::MonotonicMs now)
{
    RefusalLog &refusals = refusals_[team];
    refusals.refused += 1;
    if (refusals.loggedAt != 0 && now - refusals.loggedAt < refusalLogIntervalMs) {
        return;
    }
    Base::log(LogLevel::Info, "team-at-limit", {{"team", team}, {"refused", refusals.refused}, {"retryAfterMs", admission.retryAfterMs}});
    refusals = {now, 0};
}

std::vector<QuotaExchange::Datagram> QuotaExchange::takeDatagrams(Steering::QuotaOutbox &outbox) const
{
    std::vector<Datagram> datagrams;
    for (const auto &[vm, message] : outbox) {
        const auto address = addresses_.find(vm);
        if (address == addresses_.end()) {
            continue;
        }
        for (auto &bytes : encodeQuotaMessage(message)) {
            datagrams.emplace_back(address->second, std::move(bytes));
        }
    }
    outbox.clear();
    return datagrams;
}

void QuotaExchange::send(const std::vector<Datagram> &datagrams)
{
    for (const auto &[address, bytes] : datagrams) {
        if (!started_) {
            return;
        }
        try {
            socket_.sendTo(bytes.data(), static_cast<int>(bytes.size()), address);
            datagramsSent_.fetch_add(1, std::memory_order_relaxed);
            bytesSent_.fetch_add(bytes.size(), std::memory_order_relaxed);
        } catch (const Poco::Exception &error) {
            // As if the datagram was lost.
            Base::log(LogLevel::Debug, "quota-datagram-not-sent", {{"receiver", address.toString()}, {"cause", error.displayText()}});
        }
    }
}

void QuotaExchange::receiveLoop()
{
    while (!closing_) {
        try {
            if (socket_.poll(Poco::Timespan(receivePollMs * Poco::Timespan::MILLISECONDS), Poco::Net::Socket::SELECT_READ)) {
                receiveOne();
            }
        } catch (const std::exception &error) {
            // An unreachable peer can surface as an error of the next receive.
            Base::log(LogLevel::Debug, "quota-datagram-failed", {{"cause", error.what()}});
        }
        tick();
    }
}

void QuotaExchange::receiveOne()
{
    std::array<std::uint8_t, maxQuotaDatagramBytes> buffer;
    Poco::Net::SocketAddress sender;
    const int size = socket_.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
    const auto message = size > 0 ? decodeQuotaMessage(buffer.data(), static_cast<std::size_t>(size)) : std::nullopt;
    if (!message) {
        Base::log(LogLevel::Debug, "quota-datagram-unreadable", {{"sender", sender.toString()}, {"bytes", size}});
        return;
    }
    applyDatagram(*message, sender);
}

void QuotaExchange::applyDatagram(const Steering::QuotaMessage &message, const Poco::Net::SocketAddress &sender)
{
    Steering::QuotaOutbox outbox;
    std::vector<Datagram> datagrams;
    bool tokensCame = false;
    {
        const std::lock_guard lock(mutex_);
        const auto address = addresses_.find(message.sender);
        if (address == addresses_.end() || address->second.host() != sender.host()) {
            return;
        }
        tokensCame = member_.receive(message, clock_.monotonic(), outbox);
        datagrams = takeDatagrams(outbox);
    }
    if (tokensCame || !message.grants.empty()) {
        tokensCame_.notify_all();
    }
    send(datagrams);
}

void QuotaExchange::tick()
{
    const Base::MonotonicMs now = clock_.monotonic();
    if (now - tickedAt_ < tickIntervalMs) {
        return;
    }
    tickedAt_ = now;
    Steering::QuotaOutbox outbox;
    std::vector<Datagram> datagrams;
    Steering::KeepingChange change;
    {
        const std::lock_guard lock(mutex_);
        member_.tick(now, outbox);
        datagrams = takeDatagrams(outbox);
        change = member_.takeKeepingChange();
    }
    send(datagrams);
    logKeepingChange(change);
}

bool QuotaExchange::isInUse() const
{
    return started_;
}

bool QuotaExchange::takeConfirmable()
{
    const std::lock_guard lock(mutex_);
    return started_ && member_.isConfirmable() && !std::exchange(confirmableTaken_, true);
}

void QuotaExchange::logKeepingChange(const Steering::KeepingChange &change) const
{
    if (change.begun + change.ended > 0) {
        Base::log(LogLevel::Info, "quota-keeping", {{"vm", self_.name}, {"begun", change.begun}, {"ended", change.ended}, {"kept", change.kept}});
    }
}

std::string QuotaExchange::metricsText() const
{
    if (!started_) {
        return "";
    }
    const Steering::QuotaCounters counters = [this] {
        const std::lock_guard lock(mutex_);
        return member_.counters();
    }();
    std::ostringstream text;
    text << "wasabistair_quota_requests_total{result=\"admitted\"} " << counters.admitted << "\n"
         << "wasabistair_quota_requests_total{result=\"over-limit\"} " << counters.refusedByLimit << "\n"
         << "wasabistair_quota_requests_total{result=\"no-keeper\"} " << counters.refusedWithoutKeeper << "\n"
         << "wasabistair_quota_tokens_total{event=\"asked\"} " << counters.tokensAsked << "\n"
         << "wasabistair_quota_tokens_total{event=\"granted\"} " << counters.tokensGranted << "\n"
         << "wasabistair_quota_tokens_total{event=\"lapsed\"} " << counters.tokensLapsed << "\n"
         << "wasabistair_quota_datagrams_sent_total " << datagramsSent_ << "\n"
         << "wasabistair_quota_bytes_sent_total " << bytesSent_ << "\n";
    return text.str();
}

} // namespace Wasabistair::Nodes
