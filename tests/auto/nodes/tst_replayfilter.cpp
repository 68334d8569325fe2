#include <doctest/doctest.h>

#include <nodes/replayfilter.h>

#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace Wasabistair;
using namespace Wasabistair::Nodes;

namespace {

using Revisions = std::map<std::string, std::uint64_t>;

struct Change {
    std::string name;
    std::uint64_t revision = 0;
    bool removed = false;
};

const std::vector<std::string> names = {"a", "b", "c", "d", "e", "f"};
constexpr std::size_t namesPerPage = 2;

std::vector<Change> randomHistory()
{
    std::vector<Change> history;
    const int length = *rc::gen::inRange(1, 40);
    for (int i = 0; i < length; ++i) {
        history.push_back({names[*rc::gen::inRange<std::size_t>(0, names.size())], static_cast<std::uint64_t>(i) + 1, *rc::gen::inRange(0, 4) == 0});
    }
    return history;
}

void apply(Revisions &copy, const Change &change)
{
    if (change.removed) {
        copy.erase(change.name);
    } else {
        copy[change.name] = change.revision;
    }
}

Revisions stateAt(const std::vector<Change> &history, std::uint64_t asOf)
{
    Revisions state;
    for (const Change &change : history) {
        if (change.revision <= asOf) {
            apply(state, change);
        }
    }
    return state;
}

} // namespace

// Guards against an upstream that was read as leaving and is shown as ready again by the changes that a list's newer page already held.
TEST_CASE("replayFilter_pagesOfAnyRevisions_listedObjectsNeverGoBackAndTheCopyEndsAsTheStore")
{
    CHECK(rc::check([] {
        const std::vector<Change> history = randomHistory();
        const std::uint64_t last = history.back().revision;
        Revisions listed;
        std::uint64_t oldest = last;
        for (std::size_t first = 0; first < names.size(); first += namesPerPage) {
            const std::uint64_t asOf = *rc::gen::inRange<std::uint64_t>(1, last + 1);
            oldest = std::min(oldest, asOf);
            for (const auto &[name, revision] : stateAt(history, asOf)) {
                if (name >= names[first] && name <= names[first + namesPerPage - 1]) {
                    listed[name] = revision;
                }
            }
        }
        ReplayFilter filter;
        filter.beginList(oldest, listed);
        Revisions copy = listed;
        for (std::uint64_t position = oldest; position < last;) {
            const std::uint64_t next = *rc::gen::inRange<std::uint64_t>(position + 1, last + 1);
            for (const Change &change : history) {
                if (change.revision > position && change.revision <= next && !filter.isReplayed(change.name, change.revision)) {
                    const auto shown = listed.find(change.name);
                    RC_ASSERT(shown == listed.end() || change.revision >= shown->second);
                    apply(copy, change);
                }
            }
            position = next;
            filter.advanceTo(position);
        }
        RC_ASSERT(copy == stateAt(history, last));
    }));
}

TEST_CASE("replayFilter_watchHasPassedTheNewestPage_forgetsTheList")
{
    ReplayFilter filter;
    filter.beginList(90, {{"a", 95}, {"b", 80}});
    CHECK(filter.isReplayed("a", 94));
    CHECK_FALSE(filter.isReplayed("a", 95));
    CHECK_FALSE(filter.isReplayed("b", 70));
    filter.advanceTo(94);
    CHECK(filter.isReplayed("a", 94));
    filter.advanceTo(95);
    CHECK_FALSE(filter.isReplayed("a", 94));
}
