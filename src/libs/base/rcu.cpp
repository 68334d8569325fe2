#include "rcu.h"

// The "bulletproof" flavour registers reader threads automatically; POCO's thread pool starts and ends threads without a hook for it.
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
