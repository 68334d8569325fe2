#include "modelupstream.h"

namespace Wasabistair::Model {

ModelUpstream::ModelUpstream(int slots, int queue, int remembered)
    : slots_(slots)
    , queueLimit_(static_cast<std::size_t>(queue))
    , remembered_(static_cast<std::size_t>(remembered))
{}

bool ModelUpstream::arrive(int request)
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
    if (const auto known = places_.find(object); known != places_.end()) {
        objects_.erase(known->second);
    } else if (objects_.size() >= remembered_) {
        places_.erase(objects_.back());
        objects_.pop_back();
    }
    objects_.push_front(object);
    places_[object] = objects_.begin();
}

void ModelUpstream::withdraw(int request)
{
    std::erase(waiting_, request);
}

bool ModelUpstream::knows(int object) const
{
    return places_.contains(object);
}

Steering::ReportedLoad ModelUpstream::load() const
{
    return {running_, static_cast<int>(waiting_.size()), slots_};
}

} // namespace Wasabistair::Model
