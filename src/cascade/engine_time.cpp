#include "cascade/engine_time.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace tamarackweir::cascade {

namespace {

constexpr double kSmoothing = 0.2;   ///< weight of a new wait; about five show a change
constexpr double kMaxGrowth = 4;     ///< bounds the effect of a measurement at idle servers
constexpr double kLeastEngineMs = 1; ///< so that an unknown speed gives no boundless worth

double WorthOf(const escalation& aEscalation)
{
  return aEscalation.mGain / std::max(aEscalation.mEngineMs, kLeastEngineMs);
}

/// Share of the latest escalations that are worth less.
double RankOf(const going_rate& aRate, double aWorth, double aTieBreaker)
{
  const auto below = std::count_if(aRate.mWorths.begin(), aRate.mWorths.end(),
                                   [aWorth](double aOther) { return aOther < aWorth; });
  const auto equal = std::count(aRate.mWorths.begin(), aRate.mWorths.end(), aWorth);
  return (static_cast<double>(below) + aTieBreaker * static_cast<double>(equal + 1)) /
         static_cast<double>(aRate.mWorths.size() + 1);
}

template<class Table>
auto& EntryOf(Table& aTable, int aConfidence)
{
  return aTable.mByConfidence.at(static_cast<std::size_t>(std::clamp(aConfidence / 10, 0, 9)));
}

void AdjustRate(going_rate& aRate, double aPressure, const engine_time_options& aOptions,
                time_point aNow)
{
  const double target = std::clamp(
    (aPressure - aOptions.mHoldFrom) / (aOptions.mHoldAllAt - aOptions.mHoldFrom), 0.0, 1.0);
  const double released = std::chrono::duration<double>(aNow - aRate.mUpdatedAt) /
                          std::chrono::duration<double>(aOptions.mReleaseTime);
  aRate.mUpdatedAt = aNow;
  if (aPressure < aOptions.mHoldFrom) {
    aRate.mHeldBack = std::max(0.0, aRate.mHeldBack - released);
  }
  aRate.mHeldBack = std::max(aRate.mHeldBack, target);
}

} // namespace

void RecordWait(going_rate& aRate, double aShare, double aRequestsAhead, time_point aNow)
{
  const double weight = aRate.mMeasuredAt == time_point{} ? 1 : kSmoothing;
  aRate.mWaitShare += weight * (aShare - aRate.mWaitShare);
  aRate.mRequestsAhead += weight * (aRequestsAhead - aRate.mRequestsAhead);
  aRate.mMeasuredAt = aNow;
}

double QueueGrowth(const going_rate& aRate, double aRequestsAhead)
{
  const double growth = aRate.mRequestsAhead > 0 ? aRequestsAhead / aRate.mRequestsAhead : 1;
  return std::clamp(growth, 1.0, kMaxGrowth);
}

double PressureOf(const going_rate& aRate, double aRequestsAhead,
                  const engine_time_options& aOptions, time_point aNow)
{
  if (aNow - aRate.mMeasuredAt > aOptions.mMeasurementAge) {
    return 0;
  }
  return aRate.mWaitShare * QueueGrowth(aRate, aRequestsAhead);
}

double WaitOf(least_time& aLeast, double aMs, time_point aNow)
{
  // Longer than a burst: rising by a thousandth of each sample instead, the least time followed the
  // waits of a simulated burst of 60 s, and escalations were granted in spite of them.
  constexpr duration kRiseTime = 600s;
  const time_point last = std::exchange(aLeast.mAt, aNow).value_or(aNow);
  if (aLeast.mMs <= 0 || aMs < aLeast.mMs) {
    aLeast.mMs = aMs;
    return 0;
  }
  const double wait = aMs - aLeast.mMs;
  aLeast.mMs += wait * std::min(1.0, std::chrono::duration<double>(aNow - last) / kRiseTime);
  return wait;
}

double ExpectedGain(const gain_table& aTable, int aConfidence)
{
  return std::max(0.0, (EntryOf(aTable, aConfidence).mLarger - aConfidence) / 100);
}

void RecordGain(gain_table& aTable, int aConfidence, int aLarger)
{
  constexpr int kPriorSamples = 8; // the prior weighs as much as these
  constexpr int kMaxSamples = 64;  // older ones fade
  gain_table::entry& entry = EntryOf(aTable, aConfidence);
  entry.mSamples = std::min(entry.mSamples + 1, kMaxSamples);
  entry.mLarger += (aLarger - entry.mLarger) / (kPriorSamples + entry.mSamples);
}

escalation_verdict Judge(going_rate& aRate, escalation_record& aRecord,
                         const escalation& aEscalation, const engine_time_options& aOptions,
                         time_point aNow)
{
  AdjustRate(aRate, aEscalation.mPressure, aOptions, aNow);
  if (aEscalation.mBeginsIn >= aEscalation.mTimeLeft) {
    return escalation_verdict::TooLate;
  }
  const double worth = WorthOf(aEscalation);
  const double rank = RankOf(aRate, worth, aEscalation.mTieBreaker);
  aRate.mWorths.push_back(worth);
  if (aRate.mWorths.size() > aOptions.mMaxWorths) {
    aRate.mWorths.pop_front();
  }
  const bool isTurn = aRecord.mHeldInRow >= aOptions.mMaxHeldInRow && aRate.mHeldBack < 1;
  const bool isGranted = isTurn || rank >= aRate.mHeldBack;
  aRecord.mHeldInRow = isGranted ? 0 : aRecord.mHeldInRow + 1;
  return isGranted ? escalation_verdict::Granted : escalation_verdict::HeldBack;
}

double RateOf(const going_rate& aRate)
{
  if (aRate.mHeldBack <= 0 || aRate.mWorths.empty()) {
    return 0;
  }
  std::vector<double> worths(aRate.mWorths.begin(), aRate.mWorths.end());
  const auto last = static_cast<double>(worths.size() - 1);
  const auto at = worths.begin() + static_cast<std::ptrdiff_t>(aRate.mHeldBack * last);
  std::nth_element(worths.begin(), at, worths.end());
  return *at;
}

} // namespace tamarackweir::cascade
