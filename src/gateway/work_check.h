#pragma once

#include "gateway/call.h"

namespace tamarackweir::gateway {

/// Decides whether the attempt at the chosen server is made, by the work ahead at all servers that
/// it may use. Logs and counts a refusal.
work_check CheckWork(gateway_state& aState, call& aCall, const placement::demand& aDemand,
                     const placement::choice& aChoice, time_point aNow);

/// Whether a run on the call's model may begin in time at some server.
bool MayBeginInTime(gateway_state& aState, call& aCall, time_point aNow);

/// Records when an attempt's answer began, or how long it was waited for in vain.
void RecordWork(gateway_state& aState, const call& aCall, const work_check& aWork, duration aSeen,
                bool aIsGivenUp);

/// Waits for the header of the answer. Meanwhile the call may move to another server, or be
/// cancelled as it can't get an answer in time any more; calls that may run only once are neither
/// moved nor cancelled. On a failure, sets the outcome's result.
/// \param aHistory before the request was sent
net::task<net::error_code> AwaitHeader(gateway_state& aState, call& aCall,
                                       attempt_outcome& aOutcome, const attempt_history& aHistory,
                                       time_point aSending);

/// When an attempt's answer is looked for first: when it is overdue, or, if it would never be and
/// the attempt may be cancelled, after half of its time.
duration FirstCheck(duration aOverdueAfter, bool aIsIdempotent, duration aLeft);

} // namespace tamarackweir::gateway
