#include <doctest/doctest.h>

#include <nodes/copyprogress.h>
#include <nodes/heartbeatexchange.h>

using namespace Wasabistair;
using namespace Wasabistair::Nodes;

namespace {

constexpr StoreChangeKind kind = StoreChangeKind::Upstreams;

/// A VM that has read revision 900 in era 1.
struct EraFixture {
    EraFixture()
    {
        tracker.eras().observe(1);
        tracker.recordRead(kind, 900, 1);
        progress.applyList(900, true, 1);
    }

    RevisionTracker tracker{0};
    CopyProgress progress{false};
};

} // namespace

TEST_CASE("eraTracker_answersOfSeveralEras_tellsRisesFromOutdatedAnswers")
{
    StoreEraTracker eras;
    CHECK(eras.observe(0) == EraChange::Unchanged);
    CHECK(eras.observe(4) == EraChange::Learned);
    CHECK(eras.restores() == 0);
    CHECK(eras.observe(5) == EraChange::Restored);
    CHECK(eras.observe(4) == EraChange::Outdated);
    CHECK(eras.observe(0) == EraChange::Unchanged);
    CHECK(eras.confirmed() == 5);
    CHECK(eras.restores() == 1);
}

TEST_CASE("eraTracker_peerReportsAWrongEra_storesAnswersAreStillTaken")
{
    StoreEraTracker eras;
    eras.observe(2);
    eras.report(900);
    CHECK(eras.newest() == 900);
    CHECK(eras.observe(2) == EraChange::Unchanged);
    eras.disprove(2);
    CHECK(eras.newest() == 2);
}

TEST_CASE_FIXTURE(EraFixture, "revisionTracker_eraRises_forgetsRevisionsOfTheEraBefore")
{
    tracker.eras().observe(2);
    CHECK(tracker.latestRevision(kind) == 0);
    CHECK(tracker.ownState() == EraRevisions{2, {}});
    tracker.recordRead(kind, 890, 1);
    CHECK(tracker.latestRevision(kind) == 0);
    tracker.recordRead(kind, 880, 2);
    CHECK(tracker.latestRevision(kind) == 880);
}

TEST_CASE_FIXTURE(EraFixture, "revisionTracker_peerOfAnotherEra_itsRevisionsAreNotCompared")
{
    tracker.eras().observe(2);
    tracker.receive({0, 950, 0}, true, startGraceMs, 1);
    CHECK(tracker.latestRevision(kind) == 0);
    CHECK(tracker.mustReadLatest(startGraceMs));
    tracker.receive({0, 950, 0}, true, startGraceMs, 3);
    CHECK(tracker.latestRevision(kind) == 0);
    CHECK(tracker.eras().newest() == 3);
    CHECK(tracker.eras().confirmed() == 2);
    tracker.receive({0, 870, 0}, true, startGraceMs, 2);
    CHECK(tracker.latestRevision(kind) == 870);
    CHECK_FALSE(tracker.mustReadLatest(startGraceMs));
}

TEST_CASE_FIXTURE(EraFixture, "copyProgress_listOfALaterEraHasLowerRevisions_isTaken")
{
    CHECK_FALSE(progress.isOfOlderEra(1));
    CHECK(progress.isOfOlderEra(2));
    progress.leaveEra(2);
    CHECK(progress.nextStep(0) == ReadStep::List);
    CHECK(progress.applyList(850, false, 2));
    CHECK(progress.position() == 850);
    CHECK(progress.nextStep(850) == ReadStep::Watch);
    CHECK_FALSE(progress.applyList(840, false, 2));
}

TEST_CASE("datagram_storeStatesNoEra_hasTheSameBytesAsWithoutEras")
{
    PeerDatagram datagram{true, {{"vm-1", 3, true, 0}}, true, {1, 2, 3}};
    const auto plain = encodeDatagram(datagram);
    // An array of five elements: its first byte in CBOR.
    CHECK(plain.front() == 0x85);
    CHECK(decodeDatagram(plain.data(), plain.size()) == datagram);
    datagram.era = 7;
    const auto withEra = encodeDatagram(datagram);
    CHECK(withEra.size() == plain.size() + 1);
    CHECK(decodeDatagram(withEra.data(), withEra.size()) == datagram);
}
