#include "keydecision.h"

namespace Wasabistair::Steering {

KeyDecision decideKey(bool isKnown, const ConfigurationState &configuration, const KeyRevocation &revocation)
{
    const bool isConfirmed = configuration.confirmedAgeMs && *configuration.confirmedAgeMs <= revocation.confirmWithinMs;
    if (revocation.strict && !isConfirmed) {
        return KeyDecision::Undecided;
    }
    if (isKnown) {
        return KeyDecision::Accepted;
    }
    return configuration.isBehind ? KeyDecision::Undecided : KeyDecision::Rejected;
}

} // namespace Wasabistair::Steering
