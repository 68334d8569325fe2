#include "memorystore.h"

namespace Wasabistair::StandIns {

namespace {

using Platform::PlatformError;
using Platform::PlatformFailure;

Base::Leaf::error_id failure(PlatformFailure kind, const std::string &key)
{
    return Base::Leaf::new_error(PlatformError{kind, key});
}

} // namespace

Base::Result<Platform::VersionedValue> MemoryStore::get(const std::string &key)
{
    ++reads;
    if (down) {
        return failure(PlatformFailure::Unreachable, key);
    }
    const auto found = objects_.find(key);
    if (found == objects_.end()) {
        return failure(PlatformFailure::NotFound, key);
    }
    return found->second;
}

Base::Result<Platform::Version> MemoryStore::put(const std::string &key, const std::string &value, Platform::Version expected)
{
    ++writes;
    if (down) {
        return failure(PlatformFailure::Unreachable, key);
    }
    if (loseWrites > 0) {
        --loseWrites;
        return failure(PlatformFailure::OutcomeUnknown, key);
    }
    const auto found = objects_.find(key);
    const Platform::Version current = found == objects_.end() ? Platform::noVersion : found->second.version;
    if (current != expected) {
        return failure(PlatformFailure::Conflict, key);
    }
    objects_[key] = {value, nextVersion_++};
    if (loseAnswers > 0) {
        --loseAnswers;
        return failure(PlatformFailure::OutcomeUnknown, key);
    }
    return objects_[key].version;
}

Base::Result<Platform::Version> MemoryStore::remove(const std::string &key, Platform::Version expected)
{
    ++writes;
    const auto found = objects_.find(key);
    if (down || found == objects_.end() || found->second.version != expected) {
        return failure(down ? PlatformFailure::Unreachable : PlatformFailure::Conflict, key);
    }
    objects_.erase(found);
    return expected;
}

Base::Result<Platform::VersionedValue> MemoryStore::watch(const std::string &key, Platform::Version, int)
{
    return get(key);
}

Base::Result<std::vector<std::string>> MemoryStore::list(const std::string &prefix)
{
    ++reads;
    if (down) {
        return failure(PlatformFailure::Unreachable, prefix);
    }
    std::vector<std::string> keys;
    for (const auto &[key, value] : objects_) {
        if (key.starts_with(prefix)) {
            keys.push_back(key);
        }
    }
    return keys;
}

Base::Result<Platform::VmList> MemoryStore::vms(Platform::Version)
{
    ++reads;
    if (down) {
        return failure(PlatformFailure::Unreachable, "vms");
    }
    return list_;
}

} // namespace Wasabistair::StandIns
