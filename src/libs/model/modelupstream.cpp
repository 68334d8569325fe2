#include "modelupstream.h"

namespace Wasabistair::Model {

ModelUpstream::ModelUpstream(int slots, int queue, int cacheCapacity)
    : slots_(slots)
    , queueLimit_(static_cast<std::size_t>(queue))
    , cacheCapacity_(static_cast<std::size_t>(cacheCapacity))
{}

bool ModelUpstream::enqueue(int request)
{
    if (running_ >= slots_ && waiting_.size() >= queueLimit_) {
        return false;
    }
    waiting_.push_back(request);
    return true;
}

int ModelUpstream::startNext()
{
    if (running_ >= slots_ || waiting_.empty()) {
        return -1;
    }
    const int request = waiting_.front();
    waiting_.pop_front();
    ++running_;
    return request;
}

void ModelUpstream::finish(int object)
{
    --running_;
    if (const auto cached = cacheEntries_.find(object); cached != cacheEntries_.end()) {
        cachedObjects_.erase(cached->second);
    } else if (cachedObjects_.size() >= cacheCapacity_) {
        cacheEntries_.erase(cachedObjects_.back());
        cachedObjects_.pop_back();
    }
    cachedObjects_.push_front(object);
    cacheEntries_[object] = cachedObjects_.begin();
}

void ModelUpstream::removeQueued(int request)
{
    std::erase(waiting_, request);
}

bool ModelUpstream::hasCached(int object) const
{
    return cacheEntries_.contains(object);
}

Steering::ReportedLoad ModelUpstream::load() const
{
    return {running_, static_cast<int>(waiting_.size()), slots_};
}

} // namespace Wasabistair::Model
