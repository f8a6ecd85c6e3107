#pragma once

#include "gateway/call.h"
#include "overload/send_pace.h"
#include "overload/waiting_queue.h"

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tamarackweir::gateway {

struct waiting_call;

/// Where plain calls of one service wait while the places of its servers are taken.
struct waiting_room
{
  overload::waiting_queue mQueue;
  overload::send_pace mPace;
  time_point mPromisedUntil{}; ///< the places until then are promised to callers who come back
  time_point mNextReturn{};    ///< when a caller who comes back may go before new ones again
  /// Time left of a caller who comes for the first time, by hash of the route: the longest one seen
  /// lately. Less is left to those who come back.
  std::unordered_map<std::uint64_t, duration> mFullTimes;
  overload::waiting_id mLastId = 0;
  std::map<overload::waiting_id, waiting_call*> mCalls; ///< owned by the calls
};

/// Requests whose wait has ended.
struct ended_waits
{
  std::vector<overload::waiting_id> mLetGo;
  std::vector<overload::refused_request> mRefused;
};

/// The places at the servers that the call may use. Servers that are suspect, cold or missing don't
/// count. One that has just rejected a request as full has none left, whatever its load.
/// \param aDemand with its condition on servers
overload::place_view PlacesOf(const backends::fleet& aFleet, const placement::demand& aDemand,
                              time_point aNow);

/// The times of a plain call that decide how long it may wait.
struct call_times
{
  time_point mArrived{};
  duration mTarget{};     ///< within which the caller wants the answer
  time_point mDeadline{}; ///< the earlier of the caller's deadline and the route's timeout
  duration mAnswerTime{}; ///< usual time of an answer
};

/// When the call has to be sent at the latest.
time_point LatestSend(const call_times& aTimes);

/// The deadline that orders a caller in the room. A repeated request has less time left than a
/// first one and is sent before it, up to the rate of the times given in Retry-After. Repeats above
/// that rate are sent after first requests: if all callers repeat at once, none would be answered
/// in time. \param aTimeLeft of the caller at its arrival
time_point DeadlineInOrder(waiting_room& aRoom, std::uint64_t aRoute, time_point aArrived,
                           duration aTimeLeft, time_point aNow);

/// Lets a request into the room. It is among the requests let go if it may be sent at once.
ended_waits Enter(waiting_room& aRoom, const overload::waiting_request& aRequest,
                  const overload::place_view& aView, const overload::pace_basis& aBasis,
                  time_point aNow);

/// Lets go of the requests that may be sent now, and refuses those whose time has passed.
ended_waits Advance(waiting_room& aRoom, const overload::place_view& aView,
                    const overload::pace_basis& aBasis, time_point aNow);

/// When there will be room for a refused caller, after those that wait and those that were refused
/// before it. Promises that room to it.
duration PromiseRoom(waiting_room& aRoom, const overload::place_view& aView, time_point aNow);

/// For how long a call that servers rejected stays back, until a place is likely to be free.
/// \param aPoint uniform in [0, 1)
duration BackOff(int aRejections, duration aAnswerTime, double aPoint);

/// Waits until the call may be sent. Returns its refusal if it may not.
/// \param aLast how its last attempt ended; `NoServer` before the first one
net::task<std::optional<refusal>> WaitForPlace(gateway_state& aState, call& aCall,
                                               attempt_result aLast);

/// Records the end of an attempt of a plain call. A server that rejected it may be tried again once
/// a place is likely to be free.
void RecordPlace(gateway_state& aState, call& aCall, const attempt_outcome& aOutcome);

/// Sets the metrics of the waiting rooms.
void SetWaitingMetrics(gateway_state& aState, time_point aNow);

} // namespace tamarackweir::gateway
