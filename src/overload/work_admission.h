#pragma once

#include "base/clock.h"
#include "placement/choose.h"
#include "placement/server_room.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarackweir::overload {

/// Prefill work that one instance has lately sent to a service's servers.
struct sent_work
{
  backends::decaying_value mMs;
};

void RecordSentWork(sent_work& aSent, double aMs, time_point aNow);

/// Work that the other instances send to each server per ms, taken to be as much as this one sends.
double OthersRate(const sent_work& aSent, std::size_t aInstances, std::size_t aServers,
                  time_point aNow);

/// Expected work ahead of a new request at one server, in ms: what `placement::LoadAt` knows, and
/// the prompts that other instances have sent since the load was reported. The lateness of recent
/// answers isn't added, because `wait_error` measures it.
double WorkAtMs(const backends::backend_server& aServer, const placement::demand& aDemand,
                const placement::mean_load& aMean, double aOthersRate, time_point aNow);

/// Work ahead of a new request at the best server that it may use, as all instances together know
/// it.
struct work_ahead
{
  /// Whether the load of each usable server is known. Else nothing is refused.
  bool mIsKnown = false;
  bool mHasIdleServer = false; ///< a usable server has no request at all
  double mWaitMs = 0;          ///< expected, without the request's own prefill or run
  duration mAge{};             ///< of the report on that server
  std::size_t mServers = 0;    ///< usable ones
  /// Until the first closed or cold server takes requests again.
  std::optional<duration> mOpensIn;
};

/// Gathers the work ahead. Suspect, missing, closed and cold servers are left out.
/// \param aInstances of which each reports its load; a single one knows all of it
work_ahead WorkAheadOf(const backends::fleet& aFleet, const placement::demand& aDemand,
                       const sent_work& aSent, std::size_t aInstances, time_point aNow);

/// Seen against expected times to a first event (plain calls: to an answer) of this instance's own
/// requests. What an expected time leaves out, such as places at an engine or its urgent requests,
/// weighs differently at each length, so the ratios are kept by octaves of the expected time.
struct wait_error
{
  struct sample
  {
    double mRatio = 1;
    bool mIsLowerBound = false; ///< the request was given up, and would have taken longer
    time_point mAt{};
  };
  static constexpr std::size_t kClasses = 14; ///< octaves from 4 ms on; the last ends at 65 s
  std::array<std::vector<sample>, kClasses> mSamples;
  std::array<std::size_t, kClasses> mOldest{}; ///< index of the sample to replace
  std::optional<double> mLastWaitMs;           ///< last valid work ahead, in place of invalid ones
};

/// Adds a sample. Returns false and changes nothing if a time is not finite, or negative.
/// \param aIsLowerBound the request was given up after `aSeen`
bool RecordSeenWait(wait_error& aError, double aExpectedMs, duration aSeen, bool aIsLowerBound,
                    time_point aNow);

/// The ratio of seen to expected time that 19 in 20 requests of `aExpectedMs` exceed. Above 1 if
/// waits are longer than expected. Absent without answers enough.
std::optional<double> LeastRatio(const wait_error& aError, double aExpectedMs, time_point aNow);

enum class work_verdict
{
  Admitted,
  Refused, ///< can't begin within the caller's time
};

struct work_decision
{
  work_verdict mVerdict = work_verdict::Admitted;
  double mExpectedMs = 0; ///< until the first event or answer
  double mLeastMs = 0;    ///< the same less its error; 0 if the error isn't known
  bool mIsValid = true;   ///< false: the work ahead was invalid, and its last valid value was used
};

/// Whether the request's answer may begin (plain call: end) within the caller's time.
/// \param aOwnMs time that the request itself takes until then, whatever the size of its prompt: a
/// bound that depends on the size refuses nearly all longer prompts under lasting overload
/// \param aTimeLeft until the caller's deadline
work_decision JudgeWork(wait_error& aError, const work_ahead& aAhead, double aOwnMs,
                        duration aTimeLeft, time_point aNow);

/// Whether a request that waits at a server without an answer can't get one in time any more, by
/// what has been measured since it was sent.
/// \param aExpectedMs when it was sent
bool IsBeyondTime(const wait_error& aError, double aExpectedMs, duration aWaited,
                  duration aTimeLeft, time_point aNow);

/// How fast the work ahead at one service shrinks, and the time given in the last Retry-After.
struct room_schedule
{
  std::optional<double> mWaitMs; ///< at `mAt`
  time_point mAt{};
  double mDrainRate = 0; ///< ms of work ahead that vanish in each ms
  /// Time at which the next refused caller may retry; earlier ones were given to others.
  time_point mNextFree{};
};

/// Records the work ahead at the best server.
void RecordWorkAhead(room_schedule& aSchedule, double aWaitMs, time_point aNow);

/// A refused request.
struct refused_work
{
  double mLeastMs = 0; ///< of the decision
  double mOwnMs = 0;
  std::optional<duration> mOpensIn;
  duration mTimeLeft{};
  std::size_t mServers = 1;
  std::size_t mInstances = 1; ///< which share the room
};

/// When a refused caller is to come back so that its answer begins within its time. The callers of
/// an instance get consecutive times, each as far from the last as the instance's part of the
/// servers takes to serve one, so that they return no faster than room appears. Absent if no retry
/// can be answered in time: while the work ahead shrinks no faster than time passes, who can't
/// begin now can't begin later either.
/// \param aPoint uniform in [0, 1)
std::optional<duration> RetryAfterWork(room_schedule& aSchedule, const refused_work& aRefused,
                                       double aPoint, time_point aNow);

/// What one instance has measured for its decisions on admission.
struct work_records
{
  /// By service and urgency for streams, by route and urgency for plain calls.
  std::unordered_map<std::string, wait_error> mErrors;
  std::unordered_map<service_id, sent_work> mSent;
  std::unordered_map<service_id, room_schedule> mRooms;
};

} // namespace tamarackweir::overload
