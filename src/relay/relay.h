#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarackweir::relay {

/// Limits of one relayed answer.
struct options
{
  std::size_t mMaxWaitingBytes = 1U << 20U; ///< held after a gap; above it the stream is broken
  std::size_t mMaxWaitingEvents = 4096;
  duration mGapTimeout = 2s;   ///< how long a gap may last
  duration mIdleTimeout = 30s; ///< how long a server may send nothing
  int mMaxAttempts = 3;        ///< servers tried for one answer, the first included
};

/// An event of the answer from a backend server.
struct chunk
{
  request_id mRequest;   ///< as the server's answer states it
  std::uint64_t mId = 0; ///< `id:` of the event, from 0 upward
  std::string mData;     ///< `data:` of the event; "[DONE]" ends the answer
  int mAttempt = 0;      ///< the attempt on which it arrived
};

/// Why the stream from a server ended before "[DONE]".
enum class break_reason
{
  Closed,         ///< the server closed or reset the connection
  Gap,            ///< an event did not arrive within the gap timeout, or too much waits behind it
  Idle,           ///< nothing arrived within the idle timeout
  ForeignRequest, ///< an event of another request arrived
  ResumeIgnored,  ///< a resumed stream began again at event 0
  Refused,        ///< 503 `not_run`, or no connection: the server did not start
  Deadline,       ///< the call's deadline passed
};

/// What happens to the answer next.
enum class next_step
{
  Continue,      ///< wait for more events
  Finish,        ///< all events were delivered; write "[DONE]" once the bill record is safe
  Resume,        ///< send to another server of the same version with `Last-Event-ID`
  Restart,       ///< send to another server from the start; the caller has seen nothing
  EndIncomplete, ///< bytes reached the caller: end with an error event
  EndUnknown,    ///< nothing reached the caller, and the call may have run
  EndNotRun,     ///< nothing ran; a refusal with `not_run` is true
};

/// What the shell does after an event.
struct actions
{
  std::vector<std::string> mDeliver; ///< `data:` of events to the caller, in order
  next_step mNext = next_step::Continue;
  std::optional<std::uint64_t> mLastEventId; ///< for `Resume`
  std::optional<int> mCancelAttempt;         ///< cancel this attempt's run on its server
  std::optional<break_reason> mReason;       ///< why the last attempt broke
};

/// What is known of the call and of the server that runs it.
struct call
{
  request_id mRequest;
  bool mRepeatable = true; ///< false: it must not run on a second server once bytes have left
  time_point mDeadline{};
};

/// One answer on its way from backend servers to its caller.
struct state
{
  call mCall;
  options mOptions;
  int mAttempt = 0;                              ///< 1 is the first; 0: none started
  bool mMayHaveRun = false;                      ///< some server may have started the call
  std::uint64_t mNextId = 0;                     ///< `id:` of the next event to deliver
  std::map<std::uint64_t, std::string> mWaiting; ///< events behind a gap
  std::size_t mWaitingBytes = 0;
  time_point mLastArrival{};
  time_point mGapSince{};
  std::uint64_t mResumedFrom = 0; ///< next id when the current attempt started
  bool mBetweenAttempts = false;  ///< the last attempt broke and no other has started
  bool mEnded = false;
  std::uint64_t mDuplicates = 0; ///< events dropped as already held or delivered
  std::uint64_t mStale = 0;      ///< events dropped as of an earlier attempt
};

/// Starts the next attempt and returns its number. \param aServerResumes whether the server honours
/// `Last-Event-ID`. Throws `error` of kind `InvalidInput` if it does not although the caller has a
/// part of the answer, or if the answer has ended.
int OnAttempt(state& aState, bool aServerResumes, time_point aNow);

/// An event arrived. Events of an earlier attempt are dropped, because another server's
/// continuation may have other words.
actions OnChunk(state& aState, const chunk& aChunk, time_point aNow);

/// The current attempt's stream ended before "[DONE]"; a break of an earlier attempt is ignored.
actions OnBreak(state& aState, int aAttempt, break_reason aReason, time_point aNow);

/// After `Resume` or `Restart`: no server is eligible, or the retry budget is used up.
actions OnNoServer(state& aState);

/// The caller has gone: the run on the server is cancelled.
actions OnCallerGone(state& aState);

/// Checks the deadline and the gap and idle limits.
actions OnTick(state& aState, time_point aNow);

/// `data:` of the error event that ends an incomplete answer (a problem document).
std::string IncompleteEvent(const state& aState);

} // namespace tamarackweir::relay
