#include "rcu.h"

// The "bulletproof" flavour registers threads by itself; POCO's pool threads come and go unseen by us.
#include <urcu-bp.h>

namespace Wasabistair::Base {

RcuReadGuard::RcuReadGuard()
{
    rcu_read_lock();
}

RcuReadGuard::~RcuReadGuard()
{
    rcu_read_unlock();
}

void rcuSynchronize()
{
    synchronize_rcu();
}

} // namespace Wasabistair::Base
