#include "record.h"

#include <base/clock.h>

namespace Wasabistair::Review {

std::int64_t nowMs()
{
    return Base::monotonicMicroseconds() / 1'000;
}

Record::Record(const std::string &path)
    : file_(path)
    , startMs_(nowMs())
{}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(mutex_);
    file_ << elapsedMs() << " ms  " << line << "\n" << std::flush;
}

std::int64_t Record::elapsedMs() const
{
    return nowMs() - startMs_;
}

} // namespace Wasabistair::Review
