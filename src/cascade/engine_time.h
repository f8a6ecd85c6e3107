#pragma once

#include "base/clock.h"

#include <array>
#include <cstddef>
#include <deque>
#include <optional>

namespace tamarackweir::cascade {

/// Options of the going rate of engine time, see docs/design/escalation-by-engine-time.md.
struct engine_time_options
{
  /// Pressure from which on escalations are held back, and at which all are. A wait shows only once
  /// it is over, so the range lies well below 1: with 0.25 to 0.75, 13 to 28 in 100 answers of the
  /// simulated load came after the wanted latency, with 0.1 to 0.4 at most 2.
  double mHoldFrom = 0.1;
  double mHoldAllAt = 0.4;
  /// Time to go from holding all back to none. With 5 s (and 0.3 above) the share swung by 0.6
  /// in the simulated load, with 10 s by 0.4.
  duration mReleaseTime = 10s;
  /// Of one route and model, after which one is granted. It bounds what this takes from others to a
  /// twentieth of the doubted answers. Without it a route of long prompts got none in a long burst.
  int mMaxHeldInRow = 19;
  std::size_t mMaxWorths = 64;   ///< escalations that a new one is compared with
  duration mMeasurementAge = 3s; ///< above it a measured wait says nothing
};

/// What engine time goes for at one service, as one instance sees it.
struct going_rate
{
  double mWaitShare = 0;     ///< smoothed wait for first events, as a share of a run's time
  double mRequestsAhead = 0; ///< smoothed requests per server at the time of these
  time_point mMeasuredAt{};
  double mHeldBack = 0; ///< share of the escalations to hold back
  time_point mUpdatedAt{};
  std::deque<double> mWorths; ///< gain per ms of engine time of the latest escalations considered
};

/// Records the wait for a first event.
/// \param aShare of the time that the caller can spare for one run
/// \param aRequestsAhead requests per server now, over all instances
void RecordWait(going_rate& aRate, double aShare, double aRequestsAhead, time_point aNow);

/// How many times more requests the servers have now than when waits were measured; at least 1.
double QueueGrowth(const going_rate& aRate, double aRequestsAhead);

/// The wait that new requests expect, as a share of the time of a run; 0 if none was measured
/// lately. The measured waits are scaled by `QueueGrowth`, as a wait shows only once it is over.
double PressureOf(const going_rate& aRate, double aRequestsAhead,
                  const engine_time_options& aOptions, time_point aNow);

/// Least time to a first event, which contains no wait. Rises slowly towards longer samples, so
/// that engines that have become slower are not taken for busy ones for good.
struct least_time
{
  double mMs = 0;
  std::optional<time_point> mAt; ///< of the last sample
};

/// Returns the part of the time that the request waited, and updates the least time.
double WaitOf(least_time& aLeast, double aMs, time_point aNow);

/// What larger models have said of a model's answers, by the confidence of these.
struct gain_table
{
  struct entry
  {
    double mLarger = 100; ///< percent; the prior takes the larger model to be certain
    int mSamples = 0;
  };
  std::array<entry, 10> mByConfidence; ///< in steps of ten percent
};

/// Expected rise in quality, from 0 to 1, if a larger model answers as well.
double ExpectedGain(const gain_table& aTable, int aConfidence);

/// Records the confidence of a larger model in its own answer to the same request, in percent.
void RecordGain(gain_table& aTable, int aConfidence, int aLarger);

/// What escalations of one route's answers of one model are weighed with.
struct escalation_record
{
  least_time mLeast;
  gain_table mGains;
  double mEvents = 0; ///< smoothed, of an answer
  int mHeldInRow = 0; ///< escalations held back since one was granted
};

/// A run on a larger model that an answer of low confidence calls for.
struct escalation
{
  double mGain = 0;       ///< expected rise in the answer's quality, from 0 to 1
  double mEngineMs = 0;   ///< engine time that the run takes
  duration mBeginsIn{};   ///< until its first event
  duration mTimeLeft{};   ///< until the caller's deadline
  double mPressure = 0;   ///< see `PressureOf`
  double mTieBreaker = 0; ///< uniform in [0, 1); decides between escalations of equal worth
};

enum class escalation_verdict
{
  Granted,
  HeldBack, ///< others gain more from the engine time
  TooLate,  ///< the answer could not begin within the caller's time
};

/// Whether the larger model runs. Adjusts the going rate to the pressure: it rises with it at once
/// and falls slowly, once the pressure is low. Without pressure all escalations are granted that
/// can begin in time.
escalation_verdict Judge(going_rate& aRate, escalation_record& aRecord,
                         const escalation& aEscalation, const engine_time_options& aOptions,
                         time_point aNow);

/// Gain per ms of engine time that an escalation has to exceed; 0 while none are held back.
double RateOf(const going_rate& aRate);

} // namespace tamarackweir::cascade
