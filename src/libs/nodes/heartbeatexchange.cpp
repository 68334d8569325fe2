#include "heartbeatexchange.h"

#include <base/cbor.h>
#include <base/log.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <nlohmann/json.hpp>

#include <array>

namespace Wasabistair::Nodes {

namespace {

using Json = nlohmann::json;

// One per second keeps the traffic at some 3.4 kB/s each way with 71 VMs in 9 zones, by the sizes of the datagrams
// (docs/CAPACITY.md).
constexpr std::int64_t heartbeatIntervalMs = 1'000;
constexpr std::int64_t receivePollMs = 1'000;
// A digest of a zone of 68 VMs takes about 2 kB.
constexpr std::size_t maxDatagramBytes = 8 * 1024;
constexpr std::size_t maxReports = 256;
constexpr std::size_t fieldsPerReport = 4;
// Whether the digest is requested, reports, whether the sender reads the latest state, time of sending, revisions; then the era, if there
// is one. Releases without the time have the revisions in its place, so that neither reads the datagrams of the other.
constexpr std::size_t fieldsPerDatagram = 5;
// Keeps differences of times within 64 bits.
constexpr std::uint64_t maxSentAt = std::uint64_t{1} << 53;
// A datagram is an array that holds an array of reports, each an array.
constexpr int maxDepth = 3;

std::optional<PeerReport> decodeReport(const Json &json)
{
    const bool valid = json.is_array() && json.size() == fieldsPerReport && json[0].is_string() && json[1].is_number_unsigned() && json[2].is_boolean()
        && json[3].is_number_integer();
    if (!valid) {
        return std::nullopt;
    }
    return PeerReport{json[0].get<std::string>(), json[1].get<std::uint64_t>(), json[2].get<bool>(), json[3].get<std::int64_t>()};
}

std::optional<ChangeRevisions> decodeRevisions(const Json &json)
{
    if (!json.is_array() || json.size() != changeKindCount) {
        return std::nullopt;
    }
    ChangeRevisions revisions{};
    for (std::size_t i = 0; i < changeKindCount; ++i) {
        if (!json[i].is_number_unsigned()) {
            return std::nullopt;
        }
        revisions.at(i) = json[i].get<std::uint64_t>();
    }
    return revisions;
}

} // namespace

std::vector<std::uint8_t> encodeDatagram(const PeerDatagram &datagram)
{
    Json reports = Json::array();
    for (const PeerReport &report : datagram.reports) {
        reports.push_back({report.vm, report.incarnation, report.acceptsCallers, report.ageMs});
    }
    Json fields = Json::array({datagram.digestRequested, std::move(reports), datagram.readsLatest, datagram.sentAt, datagram.revisions});
    if (datagram.era != 0) {
        fields.push_back(datagram.era);
    }
    return Json::to_cbor(fields);
}

std::optional<PeerDatagram> decodeDatagram(const std::uint8_t *bytes, std::size_t size)
{
    const auto read = Base::readCbor(bytes, size, maxDepth);
    if (!read) {
        return std::nullopt;
    }
    const Json &json = *read;
    const bool hasEra = json.is_array() && json.size() == fieldsPerDatagram + 1 && json[fieldsPerDatagram].is_number_unsigned();
    const bool valid = json.is_array() && (json.size() == fieldsPerDatagram || hasEra) && json[0].is_boolean() && json[1].is_array()
        && json[1].size() <= maxReports && json[2].is_boolean() && json[3].is_number_unsigned() && json[3].get<std::uint64_t>() <= maxSentAt;
    const auto revisions = valid ? decodeRevisions(json[4]) : std::nullopt;
    if (!revisions) {
        return std::nullopt;
    }
    PeerDatagram datagram{
        json[0].get<bool>(), {}, json[2].get<bool>(), *revisions, hasEra ? json[fieldsPerDatagram].get<StoreEra>() : 0, json[3].get<Base::MonotonicMs>()};
    for (const Json &entry : json[1]) {
        const auto report = decodeReport(entry);
        if (!report) {
            return std::nullopt;
        }
        datagram.reports.push_back(*report);
    }
    return datagram;
}

HeartbeatExchange::HeartbeatExchange(
    PeerMembership &board, RevisionTracker &revisions, const std::string &ip, std::uint16_t port, const Base::Clock &clock, std::uint64_t seed)
    : board_(board)
    , revisions_(revisions)
    , clock_(clock)
    , random_(seed)
{
    socket_.bind(Poco::Net::SocketAddress(ip, port), true);
    receiver_ = std::thread([this] { receiveLoop(); });
    heartbeatWorker_ = std::make_unique<Base::Worker>([this] { return tick(); });
}

HeartbeatExchange::~HeartbeatExchange()
{
    closing_ = true;
    heartbeatWorker_->stop();
    receiver_.join();
}

void HeartbeatExchange::announce(const std::vector<Steering::EntryVm> &vms)
{
    const PeerDatagram datagram = makeDatagram(false, {board_.selfReport()}, clock_.monotonic());
    for (const Steering::EntryVm &vm : vms) {
        send(datagram, {vm.ip, vm.peerPort});
    }
}

void HeartbeatExchange::announceRevisions()
{
    announce(board_.zonePeers());
}

PeerDatagram HeartbeatExchange::makeDatagram(bool digestRequested, std::vector<PeerReport> reports, Base::MonotonicMs measuredAt) const
{
    const EraRevisions read = revisions_.ownState();
    return {digestRequested, std::move(reports), revisions_.readsLatest(), read.revisions, read.era, measuredAt};
}

void HeartbeatExchange::updateElectedReader(Base::MonotonicMs now)
{
    const PeerReport self = board_.selfReport();
    revisions_.setElected(isElectedReader(board_.zone(), self.vm, board_.aliveZonePeers(now)));
}

std::int64_t HeartbeatExchange::delayOf(const PeerDatagram &datagram, Base::MonotonicMs arrivedAfter, Base::MonotonicMs readAt)
{
    const Steering::MessageTimes times{datagram.sentAt, arrivedAfter, readAt};
    if (datagram.reports.empty() || !board_.isRegistered(datagram.reports.front().vm)) {
        return Steering::MessageDelay().record(times);
    }
    const PeerReport &self = datagram.reports.front();
    if (!senders_.contains(self.vm)) {
        std::erase_if(senders_, [this](const auto &entry) { return !board_.isRegistered(entry.first); });
    }
    Sender &sender = senders_[self.vm];
    if (sender.incarnation != self.incarnation) {
        sender = {self.incarnation, {}};
    }
    return sender.delay.record(times);
}

void HeartbeatExchange::applyDatagram(const PeerDatagram &datagram, Base::MonotonicMs arrivedAfter, Base::MonotonicMs readAt)
{
    const Base::MonotonicMs sentAt = readAt - delayOf(datagram, arrivedAfter, readAt);
    for (const PeerReport &report : datagram.reports) {
        board_.applyReport(report, datagram.reports.front().vm, sentAt);
    }
    if (!datagram.reports.empty() && board_.isRegistered(datagram.reports.front().vm)) {
        revisions_.receive(datagram.revisions, datagram.readsLatest && board_.isZonePeer(datagram.reports.front().vm), sentAt, datagram.era);
    }
}

std::int64_t HeartbeatExchange::tick()
{
    const Base::MonotonicMs now = clock_.monotonic();
    updateElectedReader(now);
    announce(board_.zonePeers());
    const PeerDatagram request = makeDatagram(true, {board_.selfReport()}, clock_.monotonic());
    for (const Steering::EntryVm &vm : board_.onePeerPerOtherZone(now, random_())) {
        send(request, {vm.ip, vm.peerPort});
    }
    for (const PeerChange &change : board_.takeChanges(now)) {
        Base::log(
            Base::LogLevel::Info, change.alive ? "peer-living" : "peer-silent", {{"vm", change.vm}, {"ageMs", change.ageMs}, {"reporter", change.reporter}});
    }
    return heartbeatIntervalMs;
}

void HeartbeatExchange::receiveLoop()
{
    Base::MonotonicMs arrivedAfter = clock_.monotonic();
    while (!closing_) {
        try {
            const Base::MonotonicMs now = clock_.monotonic();
            if (!socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
                arrivedAfter = now;
                recordListening(now);
                if (!socket_.poll(Poco::Timespan(receivePollMs * Poco::Timespan::MILLISECONDS), Poco::Net::Socket::SELECT_READ)) {
                    continue;
                }
            }
            receiveOne(arrivedAfter);
        } catch (const std::exception &error) {
            // An unreachable peer can surface as an error of the next receive; only a heartbeat timeout makes it dead.
            Base::log(Base::LogLevel::Debug, "datagram-failed", {{"cause", error.what()}});
        }
    }
}

void HeartbeatExchange::recordListening(Base::MonotonicMs now)
{
    if (const std::int64_t standstillMs = board_.recordListening(now); standstillMs > 0) {
        Base::log(Base::LogLevel::Warning, "stood-still", {{"vm", board_.selfReport().vm}, {"standstillMs", standstillMs}});
    }
}

void HeartbeatExchange::receiveOne(Base::MonotonicMs arrivedAfter)
{
    std::array<std::uint8_t, maxDatagramBytes> buffer;
    Poco::Net::SocketAddress sender;
    const int size = socket_.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
    const auto datagram = size > 0 ? decodeDatagram(buffer.data(), static_cast<std::size_t>(size)) : std::nullopt;
    if (!datagram) {
        Base::log(Base::LogLevel::Debug, "datagram-unreadable", {{"sender", sender.toString()}, {"bytes", size}});
        return;
    }
    const Base::MonotonicMs now = clock_.monotonic();
    applyDatagram(*datagram, arrivedAfter, now);
    if (datagram->digestRequested) {
        send(makeDatagram(false, board_.zoneDigest(now), now), sender);
    }
}

void HeartbeatExchange::send(const PeerDatagram &datagram, const Poco::Net::SocketAddress &address)
{
    const std::vector<std::uint8_t> bytes = encodeDatagram(datagram);
    try {
        socket_.sendTo(bytes.data(), static_cast<int>(bytes.size()), address);
    } catch (const Poco::Exception &error) {
        // Lost datagrams are normal; only a heartbeat timeout makes a peer dead.
        Base::log(Base::LogLevel::Debug, "datagram-not-sent", {{"receiver", address.toString()}, {"cause", error.displayText()}});
    }
}

} // namespace Wasabistair::Nodes
