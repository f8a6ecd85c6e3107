#pragma once

#include "gateway/call.h"

namespace tamarackweir::gateway {

/// Records how an attempt ended in the statistics of the service's shift, and halts the shift here
/// if they prove the new version bad.
/// \param aTime to the answer, or to the header of a stream
void RecordShiftResult(gateway_state& aState, const call& aCall, const attempt_outcome& aOutcome,
                       duration aTime);

/// Events of a stream after which its pace is judged, or its end if that comes first.
inline constexpr std::size_t kPaceEvents = 6;

/// Records the pace of a stream: the mean time between its events. The pace depends on the engine's
/// speed and on its load, but not on the prompt or on what the engine's cache holds of it.
void RecordStreamPace(gateway_state& aState, const call& aCall, const attempt& aAttempt,
                      duration aPerEvent);

/// Whether an answer came far slower than the usual one.
bool IsOffPace(const quantile_estimate& aUsual, duration aTime);

/// The loads of the shift's servers, as far as this instance knows the requests in flight.
rollout::server_loads LoadsOf(const backends::fleet& aFleet, const rollout::shift& aShift,
                              time_point aNow);

/// Halts the shift on this instance, whatever state the store holds.
/// \param aBy the instance that found the new version to be bad
void HaltShift(rollout::shift& aShift, const instance_id& aBy);

} // namespace tamarackweir::gateway
