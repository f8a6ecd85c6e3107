#pragma once

#include "gateway/call.h"

namespace tamarackweir::gateway {

/// Requests in flight per usable server of a service, over all instances as far as known.
double RequestsPerServer(const backends::fleet& aFleet, const service_id& aService,
                         time_point aNow);

/// Records how long the answer's first event took, and what a larger model says of an answer that
/// was given up for its own. Does nothing for an attempt
/// without an answer.
void RecordRun(gateway_state& aState, call& aCall, const attempt_outcome& aOutcome, duration aTime);

/// Records the number of events in a whole answer.
void RecordEvents(gateway_state& aState, const call& aCall, std::size_t aEvents);

/// Moves the call to a larger model if that one is to run instead of delivering this answer, and
/// its answer can begin before the caller's deadline; charges the retry budget.
bool Escalates(gateway_state& aState, call& aCall, const attempt_outcome& aOutcome);

} // namespace tamarackweir::gateway
