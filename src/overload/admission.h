#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace tamarackweir::overload {

/// Priority of a request; lower priorities are shed first.
enum class priority
{
  Low,
  Normal,
  High,
};

inline constexpr std::size_t kPriorityCount = 3;

/// Parameters of the adaptive concurrency limit of one instance.
struct admission_options
{
  double mInitialLimit = 32;
  double mMinLimit = 2; ///< requests in flight below it are always admitted, to keep sampling
  double mMaxLimit = 4096;
  duration mTargetDelay = 100ms;    ///< queueing delay above which the limit is reduced
  duration mAdjustInterval = 100ms; ///< minimum time between two changes of the limit
  std::size_t mMinSamples = 8;      ///< answers needed for a change, unless 1 s has passed
  double mDecrease = 0.9;           ///< factor on the limit if the delay exceeds the target
  double mIncrease = 1.0;           ///< added to the limit if reached within the target delay
  std::size_t mMaxQueue = 256;      ///< maximum number of queued requests
  duration mBaselineWindow = 60s;   ///< a baseline is kept for one to two of these windows
  double mProbeFactor = 0.5;        ///< factor on the limit while the baseline is measured again
};

/// A request to be admitted, queued or refused.
struct arrival
{
  request_id mRequest;
  priority mPriority = priority::Normal;
  time_point mDeadline{};
};

/// Why a request was refused; no refused request has been started on a server (`not_run`).
enum class refusal_reason
{
  Deadline,  ///< the answer is not expected before the deadline
  QueueFull, ///< the queue is full and holds no request of lower priority
};

/// A refused request and the delay after which a retry may succeed.
struct refusal
{
  request_id mRequest;
  refusal_reason mReason = refusal_reason::QueueFull;
  duration mRetryAfter{};
};

/// Actions for the caller to carry out after an event.
struct admission_actions
{
  std::vector<request_id> mDispatch; ///< to be sent to a backend server now
  std::vector<refusal> mRefuse;      ///< to be answered with `not_run`
};

/// Timing and outcome of a dispatched request.
struct completion
{
  duration mFirstToken{}; ///< from dispatch to the first byte of the answer
  duration mTotal{};      ///< from dispatch to the last byte
  bool mSucceeded = true; ///< false: timed out, refused or connection lost
};

/// State of the admission control of one instance.
///
/// The queueing delay of a window of answers is the lower quartile of their first-token times minus
/// the baseline, which is the lowest such quartile of the last one to two minutes. A quartile keeps
/// windows comparable although first-token times vary with prompt length. Under sustained overload
/// every window includes queueing, so the limit is reduced briefly once per baseline window to
/// measure the baseline again.
struct admission_state
{
  admission_options mOptions;
  double mLimit = 0; ///< 0 until the first event sets it to `mInitialLimit`
  std::size_t mInFlight = 0;
  std::array<std::deque<arrival>, kPriorityCount> mQueue;
  std::vector<duration> mFirstTokens;        ///< of the answers since the last adjustment
  std::uint64_t mFailures = 0;               ///< since the last adjustment
  bool mLimitReached = false;                ///< since the last adjustment
  std::optional<duration> mPreviousBaseline; ///< of the last baseline window
  std::optional<duration> mCurrentBaseline;  ///< of the current baseline window
  time_point mBaselineStart{};
  bool mLimitReachedInWindow = false; ///< the limit was reached in the baseline window
  time_point mProbeUntil{};
  time_point mLastAdjust{};
  double mMeanFirstToken = 0; ///< moving average over successful answers, in microseconds
  double mMeanTotal = 0;      ///< moving average of `completion::mTotal`, in microseconds
  double mTotalDeviation = 0; ///< moving average of the absolute deviation, in microseconds
};

/// Dispatches, queues or refuses a request. If the queue is full, the request may replace a queued
/// one of lower priority, which is refused.
admission_actions OnArrival(admission_state& aState, const arrival& aArrival, time_point aNow);

/// Records the end of a dispatched request and dispatches queued requests within the limit.
admission_actions OnCompletion(admission_state& aState, const completion& aCompletion,
                               time_point aNow);

/// Removes a request whose caller disconnected from the queue; returns whether it was queued.
bool OnCallerGone(admission_state& aState, const request_id& aRequest);

/// Adjusts the limit and refuses queued requests whose deadline can no longer be met.
admission_actions OnTick(admission_state& aState, time_point aNow);

/// Number of requests waiting for admission.
std::size_t QueueLength(const admission_state& aState);

} // namespace tamarackweir::overload
