#include "overload/work_admission.h"

#include "backends/evidence.h"
#include "placement/load_board.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>

namespace tamarackweir::overload {

namespace {

constexpr duration kSentHalfLife = 500ms; ///< several reports; a burst shows within one
/// Age of a report's content as it arrives: each instance's part is up to one report interval old.
constexpr double kReportLagMs = 200;
constexpr std::size_t kMinSamples =
  4; ///< of answers; an instance may get only some requests per second
constexpr std::size_t kMaxSamples = 24;   ///< of one class
constexpr duration kSampleLifetime = 10s; ///< servers change their speed within seconds
/// Share of the requests that may take less time than what a refusal counts with. With 0.1, 10.1
/// and with 0.25 up to 18 in 100 requests that would have fitted were refused in simulated loads;
/// see docs/design/admission-by-work.md.
constexpr double kLowShare = 0.05;
/// Under lasting overload admitted requests wait for nearly all of their time. Without a margin,
/// small changes of the measured error cancelled 19 in 100 of them, and more were late than before.
constexpr double kCancelMargin = 1.5;
constexpr double kFirstClassMs = 4;
constexpr double kMaxRatio = 64;           ///< so that a hung server's samples stay finite
constexpr double kDrainSmoothing = 0.3;    ///< weight of a new sample
constexpr duration kMinDrainPause = 100ms; ///< shorter intervals mostly show single requests
constexpr duration kMaxDrainPause = 2s;    ///< a longer one says nothing of the present
constexpr duration kMinReturn = 50ms;      ///< several round trips
constexpr duration kLongestSchedule = std::chrono::minutes(2); ///< longer than callers' deadlines

double ToMs(duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

duration FromMs(double aMs)
{
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(aMs));
}

bool IsValid(double aMs)
{
  return std::isfinite(aMs) && aMs >= 0;
}

std::size_t ClassOf(double aExpectedMs)
{
  const double octave = std::floor(std::log2(std::max(1.0, aExpectedMs / kFirstClassMs)));
  return static_cast<std::size_t>(std::min(static_cast<double>(wait_error::kClasses - 1), octave));
}

bool IsReported(const backends::backend_server& aServer, time_point aNow)
{
  return aNow <= aServer.mRemoteLoad.mExpiresAt;
}

duration ReportAge(const backends::backend_server& aServer, time_point aNow)
{
  return std::max(duration::zero(),
                  aNow - (aServer.mRemoteLoad.mExpiresAt - placement::kLoadLifetime));
}

/// The Kaplan-Meier estimate of a low quantile: what a request that was given up would have taken
/// isn't known, but it was no less.
double LowQuantile(std::vector<wait_error::sample>& aSamples)
{
  std::sort(aSamples.begin(), aSamples.end(),
            [](const auto& aLeft, const auto& aRight) { return aLeft.mRatio < aRight.mRatio; });
  double longer = 1; // share of the requests that take longer
  for (std::size_t i = 0; i < aSamples.size(); ++i) {
    if (aSamples[i].mIsLowerBound) {
      continue;
    }
    longer *= 1 - 1.0 / static_cast<double>(aSamples.size() - i);
    if (1 - longer >= kLowShare) {
      return aSamples[i].mRatio;
    }
  }
  return aSamples.back().mRatio;
}

} // namespace

void RecordSentWork(sent_work& aSent, double aMs, time_point aNow)
{
  if (IsValid(aMs)) {
    backends::Add(aSent.mMs, aMs, kSentHalfLife, aNow);
  }
}

double OthersRate(const sent_work& aSent, std::size_t aInstances, std::size_t aServers,
                  time_point aNow)
{
  if (aInstances <= 1 || aServers == 0) {
    return 0;
  }
  const double ownRate =
    backends::ValueAt(aSent.mMs, kSentHalfLife, aNow) * std::numbers::ln2 / ToMs(kSentHalfLife);
  return ownRate * static_cast<double>(aInstances - 1) / static_cast<double>(aServers);
}

double WorkAtMs(const backends::backend_server& aServer, const placement::demand& aDemand,
                const placement::mean_load& aMean, double aOthersRate, time_point aNow)
{
  const placement::expected_load load = placement::LoadAt(aServer, aMean, aNow);
  double workMs = load.mRequests * aDemand.mTurnMs;
  if (!aDemand.mParts.empty()) {
    workMs += load.mPrefillMs;
    if (IsReported(aServer, aNow)) {
      workMs += aOthersRate * (ToMs(ReportAge(aServer, aNow)) + kReportLagMs);
    }
  }
  return workMs;
}

work_ahead WorkAheadOf(const backends::fleet& aFleet, const placement::demand& aDemand,
                       const sent_work& aSent, std::size_t aInstances, time_point aNow)
{
  work_ahead ahead;
  bool isKnown = true;
  const auto& servers = backends::ServersOf(aFleet, aDemand.mService);
  const placement::mean_load mean = placement::MeanLoad(aFleet, aDemand, aNow);
  const double othersRate = OthersRate(aSent, aInstances, servers.size(), aNow);
  for (const auto& server : servers) {
    if (server->mAnnounced.mIsLeaving || server->mSaysItLeaves || server->mMissingSince ||
        !aDemand.mIsAllowed(*server) || backends::IsSuspect(*server, aNow)) {
      continue;
    }
    if (const time_point opensAt = std::max(server->mClosedUntil, server->mColdUntil);
        opensAt > aNow) {
      ahead.mOpensIn = std::min(ahead.mOpensIn.value_or(duration::max()), opensAt - aNow);
      continue;
    }
    isKnown = isKnown && (IsReported(*server, aNow) || aInstances <= 1);
    ahead.mHasIdleServer = ahead.mHasIdleServer || backends::RequestsAt(*server, aNow) == 0;
    const double workMs = WorkAtMs(*server, aDemand, mean, othersRate, aNow);
    // What is not a number must reach the judge.
    if (ahead.mServers == 0 || workMs < ahead.mWaitMs || std::isnan(workMs)) {
      ahead.mWaitMs = workMs;
      ahead.mAge = IsReported(*server, aNow) ? ReportAge(*server, aNow) : duration::zero();
    }
    ++ahead.mServers;
  }
  ahead.mIsKnown = isKnown && ahead.mServers > 0;
  return ahead;
}

bool RecordSeenWait(wait_error& aError, double aExpectedMs, duration aSeen, bool aIsLowerBound,
                    time_point aNow)
{
  if (!IsValid(aExpectedMs) || aSeen < duration::zero()) {
    return false;
  }
  const wait_error::sample sample{ .mRatio =
                                     std::min(kMaxRatio, ToMs(aSeen) / std::max(1.0, aExpectedMs)),
                                   .mIsLowerBound = aIsLowerBound,
                                   .mAt = aNow };
  const std::size_t index = ClassOf(aExpectedMs);
  std::vector<wait_error::sample>& samples = aError.mSamples[index];
  if (samples.size() < kMaxSamples) {
    samples.push_back(sample);
  } else {
    samples[aError.mOldest[index]] = sample;
    aError.mOldest[index] = (aError.mOldest[index] + 1) % kMaxSamples;
  }
  return true;
}

std::optional<double> LeastRatio(const wait_error& aError, double aExpectedMs, time_point aNow)
{
  std::vector<wait_error::sample> samples;
  std::size_t answered = 0;
  for (std::size_t next = ClassOf(aExpectedMs) + 1; next > 0; --next) {
    for (const wait_error::sample& sample : aError.mSamples[next - 1]) {
      // One from the future was taken before the clock was set back.
      if (sample.mAt <= aNow && aNow - sample.mAt < kSampleLifetime) {
        samples.push_back(sample);
        answered += sample.mIsLowerBound ? 0 : 1;
      }
    }
    // After a freeze or a cut link all samples are lower bounds, and say nothing of the servers.
    if (answered >= kMinSamples) {
      return LowQuantile(samples);
    }
  }
  return std::nullopt;
}

work_decision JudgeWork(wait_error& aError, const work_ahead& aAhead, double aOwnMs,
                        duration aTimeLeft, time_point aNow)
{
  work_decision decision;
  decision.mIsValid = IsValid(aAhead.mWaitMs) && IsValid(aOwnMs);
  if (IsValid(aAhead.mWaitMs)) {
    aError.mLastWaitMs = aAhead.mWaitMs;
  }
  decision.mExpectedMs = aError.mLastWaitMs.value_or(0) + (IsValid(aOwnMs) ? aOwnMs : 0);
  if (!aAhead.mIsKnown) {
    return decision;
  }
  decision.mLeastMs =
    decision.mExpectedMs * LeastRatio(aError, decision.mExpectedMs, aNow).value_or(0);
  if (!aAhead.mHasIdleServer && decision.mLeastMs > ToMs(aTimeLeft)) {
    decision.mVerdict = work_verdict::Refused;
  }
  return decision;
}

bool IsBeyondTime(const wait_error& aError, double aExpectedMs, duration aWaited,
                  duration aTimeLeft, time_point aNow)
{
  if (!IsValid(aExpectedMs) || aWaited < duration::zero()) {
    return false;
  }
  const double leastMs = aExpectedMs * LeastRatio(aError, aExpectedMs, aNow).value_or(0);
  return leastMs > kCancelMargin * (ToMs(aWaited) + ToMs(aTimeLeft));
}

void RecordWorkAhead(room_schedule& aSchedule, double aWaitMs, time_point aNow)
{
  if (!IsValid(aWaitMs)) {
    return;
  }
  const duration pause = aNow - aSchedule.mAt;
  const bool isComparable =
    aSchedule.mWaitMs && pause >= duration::zero() && pause <= kMaxDrainPause;
  if (isComparable && pause < kMinDrainPause) {
    return;
  }
  if (isComparable) {
    const double rate = (*aSchedule.mWaitMs - aWaitMs) / ToMs(pause);
    aSchedule.mDrainRate += kDrainSmoothing * (rate - aSchedule.mDrainRate);
  } else {
    aSchedule.mDrainRate = 0;
  }
  aSchedule.mWaitMs = aWaitMs;
  aSchedule.mAt = aNow;
}

std::optional<duration> RetryAfterWork(room_schedule& aSchedule, const refused_work& aRefused,
                                       double aPoint, time_point aNow)
{
  const double leftMs = ToMs(aRefused.mTimeLeft);
  double roomMs = std::numeric_limits<double>::infinity();
  if (aSchedule.mDrainRate > 1) {
    roomMs = (aRefused.mLeastMs - leftMs) / (aSchedule.mDrainRate - 1);
  }
  if (aRefused.mOpensIn) {
    roomMs = std::min(roomMs, ToMs(*aRefused.mOpensIn));
  }
  if (!IsValid(roomMs) || !IsValid(aRefused.mOwnMs) || roomMs + aRefused.mOwnMs > leftMs) {
    return std::nullopt;
  }
  const time_point earliest = aNow + std::max(kMinReturn, FromMs(roomMs));
  // A schedule that is far ahead stems from before the clock was set back.
  const time_point first = aSchedule.mNextFree - aNow > kLongestSchedule
                             ? earliest
                             : std::max(earliest, aSchedule.mNextFree);
  const double gapMs = aRefused.mOwnMs * static_cast<double>(aRefused.mInstances) /
                       static_cast<double>(std::max<std::size_t>(1, aRefused.mServers));
  const duration wait = first - aNow + FromMs(aPoint * gapMs);
  if (ToMs(wait) + aRefused.mOwnMs > leftMs) {
    return std::nullopt;
  }
  aSchedule.mNextFree = first + FromMs(gapMs);
  return wait;
}

} // namespace tamarackweir::overload
