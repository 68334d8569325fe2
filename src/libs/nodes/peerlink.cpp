#include "peerlink.h"

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

// Bounds traffic: some 3.4 kB/s each way at 71 VMs in 9 zones, by the sizes of the datagrams (docs/CAPACITY.md).
constexpr std::int64_t tickMs = 1'000;
constexpr std::int64_t receiveWaitMs = 1'000;
// A digest of a zone of 68 VMs takes about 2 kB.
constexpr std::size_t maxDatagramBytes = 8 * 1024;
constexpr std::size_t maxReports = 256;
constexpr std::size_t fieldsPerReport = 4;
// Question, reports, whether the sender reads the store, revisions.
constexpr std::size_t fieldsPerDatagram = 4;
// A datagram is a list with a list of reports, each a list.
constexpr int maxDepth = 3;

std::optional<PeerReport> decodeReport(const Json &json)
{
    const bool good = json.is_array() && json.size() == fieldsPerReport && json[0].is_string() && json[1].is_number_unsigned() && json[2].is_boolean()
        && json[3].is_number_integer();
    if (!good) {
        return std::nullopt;
    }
    return PeerReport{json[0].get<std::string>(), json[1].get<std::uint64_t>(), json[2].get<bool>(), json[3].get<std::int64_t>()};
}

std::optional<NewsRevisions> decodeNews(const Json &json)
{
    if (!json.is_array() || json.size() != newsKindCount) {
        return std::nullopt;
    }
    NewsRevisions news{};
    for (std::size_t i = 0; i < newsKindCount; ++i) {
        if (!json[i].is_number_unsigned()) {
            return std::nullopt;
        }
        news.at(i) = json[i].get<std::uint64_t>();
    }
    return news;
}

} // namespace

std::vector<std::uint8_t> encodeDatagram(const PeerDatagram &datagram)
{
    Json reports = Json::array();
    for (const PeerReport &report : datagram.reports) {
        reports.push_back({report.vm, report.incarnation, report.takesCallers, report.ageMs});
    }
    return Json::to_cbor(Json::array({datagram.question, std::move(reports), datagram.readsStore, datagram.news}));
}

std::optional<PeerDatagram> decodeDatagram(const std::uint8_t *bytes, std::size_t size)
{
    const auto read = Base::readCbor(bytes, size, maxDepth);
    if (!read) {
        return std::nullopt;
    }
    const Json &json = *read;
    const bool good = json.is_array() && json.size() == fieldsPerDatagram && json[0].is_boolean() && json[1].is_array() && json[1].size() <= maxReports
        && json[2].is_boolean();
    const auto news = good ? decodeNews(json[3]) : std::nullopt;
    if (!news) {
        return std::nullopt;
    }
    PeerDatagram datagram{json[0].get<bool>(), {}, json[2].get<bool>(), *news};
    for (const Json &entry : json[1]) {
        const auto report = decodeReport(entry);
        if (!report) {
            return std::nullopt;
        }
        datagram.reports.push_back(*report);
    }
    return datagram;
}

PeerLink::PeerLink(PeerBoard &board, NewsLedger &news, const std::string &ip, std::uint16_t port, const Base::Clock &clock, std::uint64_t seed)
    : board_(board)
    , news_(news)
    , clock_(clock)
    , random_(seed)
{
    socket_.bind(Poco::Net::SocketAddress(ip, port), true);
    receiver_ = std::thread([this] { receiveLoop(); });
    ticker_ = std::make_unique<Base::Worker>([this] { return tick(); });
}

PeerLink::~PeerLink()
{
    closing_ = true;
    ticker_->stop();
    receiver_.join();
}

void PeerLink::announce(const std::vector<Steering::EntryVm> &vms)
{
    const PeerDatagram datagram = datagramOf(false, {board_.selfReport()});
    for (const Steering::EntryVm &vm : vms) {
        send(datagram, {vm.ip, vm.peerPort});
    }
}

void PeerLink::announceNews()
{
    announce(board_.zonePeers());
}

PeerDatagram PeerLink::datagramOf(bool question, std::vector<PeerReport> reports) const
{
    return {question, std::move(reports), news_.isReading(), news_.own()};
}

void PeerLink::updateReader(Base::MonotonicMs now)
{
    const PeerReport self = board_.selfReport();
    news_.setAppointed(isAppointedReader(board_.zone(), self.vm, board_.livingZonePeers(now)));
}

void PeerLink::take(const PeerDatagram &datagram, Base::MonotonicMs now)
{
    for (const PeerReport &report : datagram.reports) {
        board_.take(report, now);
    }
    if (!datagram.reports.empty() && board_.knows(datagram.reports.front().vm)) {
        news_.hear(datagram.news, datagram.readsStore && board_.isZonePeer(datagram.reports.front().vm), now);
    }
}

std::int64_t PeerLink::tick()
{
    const Base::MonotonicMs now = clock_.monotonic();
    updateReader(now);
    announce(board_.zonePeers());
    const PeerDatagram question = datagramOf(true, {board_.selfReport()});
    for (const Steering::EntryVm &vm : board_.oneOfEachOtherZone(now, random_())) {
        send(question, {vm.ip, vm.peerPort});
    }
    for (const PeerChange &change : board_.takeChanges(now)) {
        Base::log(Base::LogLevel::Info, change.living ? "peer-living" : "peer-silent", {{"vm", change.vm}, {"ageMs", change.ageMs}});
    }
    return tickMs;
}

void PeerLink::receiveLoop()
{
    std::array<std::uint8_t, maxDatagramBytes> buffer;
    while (!closing_) {
        try {
            if (!socket_.poll(Poco::Timespan(receiveWaitMs * Poco::Timespan::MILLISECONDS), Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            Poco::Net::SocketAddress sender;
            const int size = socket_.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
            const auto datagram = size > 0 ? decodeDatagram(buffer.data(), static_cast<std::size_t>(size)) : std::nullopt;
            if (!datagram) {
                Base::log(Base::LogLevel::Debug, "datagram-unreadable", {{"sender", sender.toString()}, {"bytes", size}});
                continue;
            }
            const Base::MonotonicMs now = clock_.monotonic();
            take(*datagram, now);
            if (datagram->question) {
                send(datagramOf(false, board_.zoneDigest(now)), sender);
            }
        } catch (const Poco::Exception &error) {
            // An unreachable peer shows as an error of the next receive; it is judged by its silence.
            Base::log(Base::LogLevel::Debug, "datagram-failed", {{"cause", error.displayText()}});
        }
    }
}

void PeerLink::send(const PeerDatagram &datagram, const Poco::Net::SocketAddress &address)
{
    const std::vector<std::uint8_t> bytes = encodeDatagram(datagram);
    try {
        socket_.sendTo(bytes.data(), static_cast<int>(bytes.size()), address);
    } catch (const Poco::Exception &error) {
        // Lost datagrams are normal; the peer is judged by its silence.
        Base::log(Base::LogLevel::Debug, "datagram-not-sent", {{"receiver", address.toString()}, {"cause", error.displayText()}});
    }
}

} // namespace Wasabistair::Nodes
