#pragma once

#include <base/clock.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Wasabistair::Steering {

/// An object as the store shows it.
template<typename Value>
struct StoredVersion {
    Value value;
    /// Store revision of its last change; given out again after the store came back from an older copy.
    std::uint64_t revision = 0;

    bool operator==(const StoredVersion &) const = default;
};

/// Objects of one kind by name, from a store that may come back from a copy some seconds old.
///
/// What this VM knew before is newer than the copy, so that it applies until the object is written again, or until its writers have had
/// the time for that. From then on the store's state applies: an object that nobody wrote again is as the store says.
///
/// The first list after the return shows the copy and what has been written since, which applies at once. A version is from the copy if this
/// VM saw it replaced or removed before, or if it isn't later than the known one.
template<typename Value>
class RestorableObjects
{
public:
    using Version = StoredVersion<Value>;
    using Versions = std::map<std::string, Version>;
    using Objects = std::map<std::string, Value>;

    /// How long a version that was replaced or removed is remembered, in ms. Longer than any copy is old.
    static constexpr Base::MonotonicMs seenMs = 60'000;
    /// Bounds the memory for one object; the oldest versions are dropped first.
    static constexpr std::size_t maxSeenVersions = 16;

    explicit RestorableObjects(Base::MonotonicMs holdMs)
        : holdMs_(holdMs)
    {}

    /// The store came back from an older copy; the next list shows it.
    void holdKnown(Base::MonotonicMs now)
    {
        held_ = currentVersions();
        heldUntil_ = now + holdMs_;
        written_.clear();
        awaitsList_ = true;
    }

    /// Returns the names of the objects whose listed state is older than what applies.
    std::vector<std::string> applyList(Versions objects, Base::MonotonicMs now)
    {
        std::vector<std::string> outdated;
        if (std::exchange(awaitsList_, false)) {
            for (const auto &[name, version] : objects) {
                if (isWrittenSince(name, version, now)) {
                    written_.insert(name);
                } else if (const auto known = held_->find(name); known == held_->end() || known->second != version) {
                    outdated.push_back(name);
                }
            }
        } else {
            // What differs from the list before was written in between, though no event told of it.
            recordDifferences(objects, now);
        }
        stored_ = std::move(objects);
        return outdated;
    }

    void put(const std::string &name, Version version, Base::MonotonicMs now)
    {
        if (const auto replaced = stored_.find(name); replaced != stored_.end() && replaced->second != version) {
            rememberReplaced(name, now);
        }
        stored_.insert_or_assign(name, std::move(version));
        written_.insert(name);
    }

    void remove(const std::string &name, Base::MonotonicMs now)
    {
        rememberReplaced(name, now);
        stored_.erase(name);
        written_.insert(name);
    }

    /// Ends the hold when it is over; returns whether that changed current().
    bool releaseExpired(Base::MonotonicMs now)
    {
        if (!held_ || now < heldUntil_) {
            return false;
        }
        const Objects before = current();
        held_.reset();
        return before != current();
    }

    [[nodiscard]] Objects current() const
    {
        Objects objects;
        for (auto &[name, version] : currentVersions()) {
            objects.emplace(name, std::move(version.value));
        }
        return objects;
    }

private:
    struct SeenVersion {
        Version version;
        Base::MonotonicMs replacedAt = 0;
    };

    [[nodiscard]] Versions currentVersions() const
    {
        if (!held_) {
            return stored_;
        }
        Versions versions = *held_;
        std::erase_if(versions, [this](const auto &object) { return written_.contains(object.first); });
        for (const auto &[name, version] : stored_) {
            if (written_.contains(name)) {
                versions.emplace(name, version);
            }
        }
        return versions;
    }

    /// Whether the first list after the return shows a version that was written after it.
    [[nodiscard]] bool isWrittenSince(const std::string &name, const Version &version, Base::MonotonicMs now) const
    {
        const auto known = held_->find(name);
        const bool isLater = known == held_->end() || known->second.revision < version.revision;
        return isLater && !wasSeen(name, version, now);
    }

    [[nodiscard]] bool wasSeen(const std::string &name, const Version &version, Base::MonotonicMs now) const
    {
        const auto found = seen_.find(name);
        return found != seen_.end() && std::any_of(found->second.begin(), found->second.end(), [&](const SeenVersion &seen) {
            return seen.version == version && now - seen.replacedAt <= seenMs;
        });
    }

    void rememberReplaced(const std::string &name, Base::MonotonicMs now)
    {
        const auto replaced = stored_.find(name);
        if (replaced == stored_.end()) {
            return;
        }
        std::erase_if(seen_, [&](const auto &entry) { return now - entry.second.back().replacedAt > seenMs; });
        std::deque<SeenVersion> &seen = seen_[name];
        seen.push_back({replaced->second, now});
        if (seen.size() > maxSeenVersions) {
            seen.pop_front();
        }
    }

    void recordDifferences(const Versions &objects, Base::MonotonicMs now)
    {
        for (const auto &[name, version] : stored_) {
            if (const auto listed = objects.find(name); listed == objects.end() || listed->second != version) {
                rememberReplaced(name, now);
                written_.insert(name);
            }
        }
        for (const auto &[name, version] : objects) {
            if (!stored_.contains(name)) {
                written_.insert(name);
            }
        }
    }

    const Base::MonotonicMs holdMs_;
    Versions stored_;
    /// State before the store came back; empty when none is held.
    std::optional<Versions> held_;
    Base::MonotonicMs heldUntil_ = 0;
    bool awaitsList_ = false;
    /// Objects written or removed since the store came back.
    std::set<std::string> written_;
    /// Versions that were replaced or removed, the latest one last.
    std::map<std::string, std::deque<SeenVersion>> seen_;
};

} // namespace Wasabistair::Steering
