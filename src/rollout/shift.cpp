#include "rollout/shift.h"

#include "rollout/version_results.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace tamarackweir::rollout {

namespace {

double FractionOf(duration aTime, const shift& aShift)
{
  const double length =
    std::max(1e-3, std::chrono::duration<double>(aShift.mOrder.mDuration).count());
  return std::chrono::duration<double>(aTime).count() / length;
}

double PassedAt(const shift& aShift)
{
  return aShift.mPassedAt ? ElapsedFraction(aShift, *aShift.mPassedAt) : -1;
}

/// Whether the new version has fewer results than its share of the traffic explains, as when no
/// server of it can be reached. A service without traffic does not hold up its shift.
bool IsUnknown(const std::map<std::string, version_counts>& aByRoute, const shift& aShift,
               const shift_options& aOptions)
{
  const auto all = aByRoute.find("");
  if (all == aByRoute.end()) {
    return false;
  }
  const double expected = static_cast<double>(Failures(all->second.mOld).Trials()) *
                          ScheduleOf(aShift, aOptions).mCanaryShare;
  return expected >= static_cast<double>(aOptions.mMinResults) &&
         Failures(all->second.mNew).Trials() < aOptions.mMinResults;
}

/// Whether the new version was judged only at loads below a share of the one that it will have.
bool IsJudgedBelow(const shift& aShift, const shift_options& aOptions, double aShare)
{
  return JudgedLoadShare(aShift, aOptions).value_or(1) < aShare;
}

/// Time, as a fraction of the duration, from a rise of the load to the results that show it.
double JudgementTime(const shift& aShift, const shift_options& aOptions)
{
  return FractionOf(aShift.mUsualTime + aOptions.mResultDelay, aShift);
}

/// Whether the plan of the shift can show the future load. If it can't, as on few servers in a
/// short roll-out, the load does not hold up a good version.
bool CanSeeLoad(const shift& aShift, const shift_options& aOptions)
{
  const exposure_schedule schedule = ScheduleOf(aShift, aOptions);
  const std::size_t servers = aShift.mUsualLoads.mNewServers;
  // Twice the load that must be seen, as the requests in flight vary.
  return servers == 0 ||
         schedule.mCanaryShare * static_cast<double>(servers) >= 2 * aOptions.mLeastJudgedLoad ||
         schedule.mSuccess - schedule.mLoadStart >= JudgementTime(aShift, aOptions);
}

/// Whether the new version was judged only far below the load that it will have.
bool IsLoadUnseen(const shift& aShift, const shift_options& aOptions)
{
  return IsJudgedBelow(aShift, aOptions, aOptions.mLeastJudgedLoad) && CanSeeLoad(aShift, aOptions);
}

/// The phase after the canary, shortly before the ramp or later.
std::optional<shift_phase> PhaseAfterCanary(const shift& aShift, const shift_options& aOptions,
                                            double aElapsed)
{
  const exposure_schedule schedule = ScheduleOf(aShift, aOptions);
  const auto byRoute = PoolResults(aShift);
  const bool canPass =
    !byRoute.empty() &&
    !(HasLoadStep(schedule) && IsJudgedBelow(aShift, aOptions, aOptions.mLoadedFrom)) &&
    std::all_of(byRoute.begin(), byRoute.end(), [&aOptions](const auto& aEntry) {
      const version_counts& routeCounts = aEntry.second;
      return Failures(routeCounts.mNew).Trials() >= aOptions.mMinRouteResults &&
             !FailsMore(routeCounts, aOptions, aOptions.mHoldSignificance) &&
             !IsSlower(routeCounts, aOptions, aOptions.mHoldSignificance) &&
             !IsSlowEverywhere(routeCounts, aOptions, aOptions.mHoldSignificance);
    });
  if (canPass) {
    return shift_phase::Passed;
  }
  if (aElapsed < schedule.mRampStart) {
    return std::nullopt;
  }
  if (IsUnknown(byRoute, aShift, aOptions) || IsSuspicious(byRoute, aOptions)) {
    return shift_phase::RolledBack;
  }
  if (HasLoadStep(schedule) && IsLoadUnseen(aShift, aOptions)) {
    return aElapsed < schedule.mSuccess ? std::nullopt : std::optional(shift_phase::RolledBack);
  }
  return shift_phase::Passed;
}

/// From when on a shift may pass. All instances should know of it at the start of the ramp, but
/// most of a load step has to be seen.
double PassFrom(const shift& aShift, const shift_options& aOptions)
{
  const exposure_schedule schedule = ScheduleOf(aShift, aOptions);
  const double lead = FractionOf(aOptions.mPassLead, aShift);
  const double step = schedule.mRampStart - schedule.mLoadStart;
  return std::max(aOptions.mCanaryEnd,
                  schedule.mRampStart - (HasLoadStep(schedule) ? std::min(lead, step / 4) : lead));
}

/// The server of the new version with the most results of those that do not fail; empty if none is
/// known.
server_id BestKnownServer(const shift& aShift, const shift_options& aOptions)
{
  const auto byRoute = PoolResults(aShift);
  const auto all = byRoute.find("");
  server_id best;
  std::uint64_t most = 0;
  if (all == byRoute.end()) {
    return best;
  }
  const double rate =
    ToleratedRate(Failures(all->second.mOld), aOptions.mBadRateFloor, aOptions.mBadRateFactor);
  for (const auto& [server, counts] : all->second.mNewByServer) {
    const tally results = Failures(counts);
    if (results.Trials() > most && !IsAbove(results, rate, aOptions.mHoldSignificance)) {
      best = server;
      most = results.Trials();
    }
  }
  return best;
}

/// Whether the load step has to be planned now, so that all instances know of it in time.
bool IsLoadStepDue(const shift& aShift, const shift_options& aOptions, double aElapsed)
{
  if (aShift.mProgress->mLoadStep ||
      aElapsed < aOptions.mCanaryEnd - FractionOf(aOptions.mPassLead, aShift)) {
    return false;
  }
  // A step that begins late would still run when the shift has to be decided.
  const load_step step = PlannedLoadStep(aShift, aOptions);
  return step.mShare > 0 &&
         aElapsed < PlanExposure(aShift.mOrder.mDuration, ScheduleOf(aShift, aOptions).mCanaryShare,
                                 aOptions.mSchedule, step)
                      .mLoadStart;
}

} // namespace

double ElapsedFraction(const shift& aShift, time_point aNow)
{
  return std::max(0.0, FractionOf(aNow - aShift.mStartedAt, aShift));
}

exposure_schedule ScheduleOf(const shift& aShift, const shift_options& aOptions)
{
  const double agreed = aShift.mProgress ? aShift.mProgress->mCanaryShare : 0;
  return PlanExposure(aShift.mOrder.mDuration,
                      agreed > 0 ? agreed : MaxCanaryShare(aOptions.mSchedule), aOptions.mSchedule,
                      aShift.mProgress ? aShift.mProgress->mLoadStep.value_or(load_step{})
                                       : load_step{});
}

load_step PlannedLoadStep(const shift& aShift, const shift_options& aOptions)
{
  const std::size_t servers = aShift.mUsualLoads.mNewServers;
  const double canary = ScheduleOf(aShift, aOptions).mCanaryShare;
  if (servers == 0 || canary * static_cast<double>(servers) >= 1) {
    return {};
  }
  const duration needed = aShift.mUsualTime + aOptions.mResultDelay;
  // The load rises during a third of this time. Some faults take longer to show.
  const duration wanted = std::max(3 * needed, aShift.mOrder.mDuration / 50);
  for (const double load : { aOptions.mSchedule.mStepLoad, 1.0 }) {
    load_step step{ .mShare = LoadStepShare(servers, load, aOptions.mSchedule),
                    .mLength = wanted,
                    .mFirst = BestKnownServer(aShift, aOptions) };
    const exposure_schedule planned =
      PlanExposure(aShift.mOrder.mDuration, canary, aOptions.mSchedule, step);
    if (HasLoadStep(planned) &&
        planned.mRampStart - planned.mLoadStart >= FractionOf(needed, aShift)) {
      return step;
    }
  }
  return {};
}

bool IsSentUnderLoad(const shift& aShift, const shift_options& aOptions, time_point aSent)
{
  return ElapsedFraction(aShift, aSent) >= ScheduleOf(aShift, aOptions).mLoadStart;
}

double NewVersionShare(const shift& aShift, const shift_options& aOptions, time_point aNow)
{
  if (aShift.mProgress && aShift.mProgress->mPhase == shift_phase::Succeeded) {
    return 1;
  }
  if (!IsRunning(aShift)) {
    return 0;
  }
  return ShareAt(ScheduleOf(aShift, aOptions), ElapsedFraction(aShift, aNow), PassedAt(aShift));
}

bool IsCanaryShare(const shift& aShift, const shift_options& aOptions, time_point aNow)
{
  const exposure_schedule schedule = ScheduleOf(aShift, aOptions);
  return IsRunning(aShift) && ElapsedFraction(aShift, aNow) < schedule.mLoadStart;
}

std::vector<std::uint64_t> SessionsToKeepOnOldVersion(const shift_options& aOptions,
                                                      const session_pins& aPins, time_point aNow)
{
  const double canaryShare = MaxCanaryShare(aOptions.mSchedule);
  std::vector<std::uint64_t> kept;
  for (const auto& [session, pin] : aPins) {
    if (!pin.mIsNew && pin.mHashPoint < canaryShare &&
        aNow - pin.mLastActive < aOptions.mSessionGap) {
      kept.push_back(session);
    }
  }
  return kept;
}

version_side ChooseSide(const shift& aShift, const shift_options& aOptions, double aPoint,
                        std::optional<std::uint64_t> aSession, session_pins& aPins, time_point aNow)
{
  const double share = NewVersionShare(aShift, aOptions, aNow);
  bool isNew = aPoint < share;
  if (!aSession) {
    return isNew ? version_side::New : version_side::Old;
  }
  const auto pin = aPins.find(*aSession);
  const bool isActive = pin != aPins.end() && aNow - pin->second.mLastActive < aOptions.mSessionGap;
  if (IsRunning(aShift)) {
    const bool isCanary = ElapsedFraction(aShift, aNow) < aOptions.mCanaryEnd;
    if (isActive && pin->second.mIsNew) {
      isNew = true;
    } else if (isCanary && (isActive || aShift.mKeptSessions.contains(*aSession))) {
      isNew = false;
    }
  }
  aPins[*aSession] = session_pin{ .mIsNew = isNew, .mHashPoint = aPoint, .mLastActive = aNow };
  return isNew ? version_side::New : version_side::Old;
}

bool IsBefore(shift_phase aPhase, shift_phase aOther)
{
  const auto rank = [](shift_phase aOne) {
    // A shift ends as one or the other.
    return aOne == shift_phase::RolledBack ? shift_phase::Succeeded : aOne;
  };
  return rank(aPhase) < rank(aOther);
}

bool IsRunning(const shift& aShift)
{
  return !aShift.mIsHalted &&
         (!aShift.mProgress || aShift.mProgress->mPhase == shift_phase::Running ||
          aShift.mProgress->mPhase == shift_phase::Passed);
}

void RecordResult(shift& aShift, const result_key& aKey, bool aGood)
{
  shift_counts& result = aShift.mOwnResults[aKey];
  ++(aGood ? result.mGood : result.mBad);
}

void RecordPace(shift& aShift, const result_key& aKey, bool aIsSlow)
{
  shift_counts& result = aShift.mOwnResults[aKey];
  ++(aIsSlow ? result.mSlow : result.mOnPace);
}

bool HasNewBadResults(const shift_results& aResults, const shift_results& aEarlier)
{
  return std::any_of(aResults.begin(), aResults.end(), [&aEarlier](const auto& aEntry) {
    const auto& [key, counts] = aEntry;
    const auto before = aEarlier.find(key);
    const std::uint64_t known =
      before == aEarlier.end() ? 0 : before->second.mBad + before->second.mSlow;
    return key.mIsNew && counts.mBad + counts.mSlow > known;
  });
}

void MergeResults(shift& aShift, const std::string& aInstance, const shift_results& aResults)
{
  shift_results& known = aShift.mPeerResults[aInstance];
  for (const auto& [key, result] : aResults) {
    shift_counts& entry = known[key];
    entry.mGood = std::max(entry.mGood, result.mGood);
    entry.mBad = std::max(entry.mBad, result.mBad);
    entry.mOnPace = std::max(entry.mOnPace, result.mOnPace);
    entry.mSlow = std::max(entry.mSlow, result.mSlow);
  }
}

void RecordLoad(shift& aShift, int aInFlight, const server_loads& aLoads)
{
  if (aLoads.mFuture < 1) {
    return;
  }
  const double tenths = 10 * aInFlight / aLoads.mFuture;
  const auto last = static_cast<double>(aShift.mOwnLoads.size() - 1);
  ++aShift.mOwnLoads.at(static_cast<std::size_t>(std::clamp(tenths, 0.0, last)));
}

void RecordUsualLoads(shift& aShift, const shift_options& aOptions, const server_loads& aLoads,
                      time_point aNow)
{
  // Before the canary starts, instances know only some of the new version's servers.
  if (!IsCanaryShare(aShift, aOptions, aNow) ||
      ElapsedFraction(aShift, aNow) < ScheduleOf(aShift, aOptions).mCanaryStart) {
    return;
  }
  constexpr double kWeight = 0.1; // about the last ten values
  server_loads& usual = aShift.mUsualLoads;
  const double weight = usual.mFuture > 0 ? kWeight : 1;
  usual.mOld += weight * (aLoads.mOld - usual.mOld);
  usual.mFuture += weight * (aLoads.mFuture - usual.mFuture);
  usual.mNewServers = aLoads.mNewServers;
  // Little's law: the requests in flight are those that arrive while one is served.
  const shift_totals totals = TotalsOf(aShift);
  const std::uint64_t results = Failures(totals.mOld).Trials() + Failures(totals.mNew).Trials();
  const double inFlight = usual.mFuture * static_cast<double>(usual.mNewServers);
  const double arrived = static_cast<double>(results) + inFlight;
  aShift.mUsualTime = std::chrono::duration_cast<duration>((aNow - aShift.mStartedAt) *
                                                           (inFlight / std::max(1.0, arrived)));
}

void MergeLoads(shift& aShift, const std::string& aInstance, const load_counts& aLoads)
{
  load_counts& known = aShift.mPeerLoads[aInstance];
  std::transform(known.begin(), known.end(), aLoads.begin(), known.begin(),
                 [](auto aLeft, auto aRight) { return std::max(aLeft, aRight); });
}

std::optional<double> JudgedLoadShare(const shift& aShift, const shift_options& aOptions)
{
  load_counts all = aShift.mOwnLoads;
  for (const auto& [instance, loads] : aShift.mPeerLoads) {
    std::transform(all.begin(), all.end(), loads.begin(), all.begin(), std::plus<>());
  }
  std::uint64_t judged = 0;
  for (std::size_t step = all.size(); step-- > 0;) {
    judged += all.at(step);
    if (judged >= aOptions.mMinResults) {
      return static_cast<double>(step) / 10;
    }
  }
  return std::nullopt;
}

shift_totals TotalsOf(const shift& aShift)
{
  const auto byRoute = PoolResults(aShift);
  const auto all = byRoute.find("");
  return all == byRoute.end() ? shift_totals{}
                              : shift_totals{ .mOld = all->second.mOld, .mNew = all->second.mNew };
}

bool IsNewVersionBad(const shift& aShift, const shift_options& aOptions)
{
  const auto byRoute = PoolResults(aShift);
  return std::any_of(byRoute.begin(), byRoute.end(), [&aOptions](const auto& aEntry) {
    return IsProvenWorse(aEntry.second, aOptions);
  });
}

std::optional<shift_phase> NextPhase(const shift& aShift, const shift_options& aOptions,
                                     evidence_scope aScope, time_point aNow)
{
  const shift_phase phase = aShift.mProgress ? aShift.mProgress->mPhase : shift_phase::Running;
  if (phase == shift_phase::Succeeded || phase == shift_phase::RolledBack) {
    return std::nullopt;
  }
  if (aShift.mIsHalted) {
    return shift_phase::RolledBack;
  }
  if (!aShift.mProgress) {
    return shift_phase::Running;
  }
  const double elapsed = ElapsedFraction(aShift, aNow);
  const exposure_schedule schedule = ScheduleOf(aShift, aOptions);
  if (phase == shift_phase::Running) {
    if (aScope != evidence_scope::Pooled) {
      return std::nullopt;
    }
    if (IsLoadStepDue(aShift, aOptions, elapsed)) {
      return shift_phase::Running;
    }
    return elapsed >= PassFrom(aShift, aOptions) ? PhaseAfterCanary(aShift, aOptions, elapsed)
                                                 : std::nullopt;
  }
  // Collectors decide first; the other instances act only if no collector has done so.
  const double settle = 1 - schedule.mSuccess;
  const double lastCall = 1 - settle * 0.6;
  const double ownFrom = 1 - settle * 0.35;
  if (!aShift.mPassedAt || elapsed < schedule.mSuccess ||
      (aScope == evidence_scope::Own && elapsed < ownFrom)) {
    return std::nullopt;
  }
  // The usual time of a request follows from the results of all instances, which only collectors
  // know. So others can't tell whether the load could be seen.
  const bool isUnseen = aScope == evidence_scope::Own
                          ? IsJudgedBelow(aShift, aOptions, aOptions.mLeastJudgedLoad)
                          : IsLoadUnseen(aShift, aOptions);
  if (!IsSuspicious(PoolResults(aShift), aOptions) && !isUnseen) {
    return shift_phase::Succeeded;
  }
  return aScope == evidence_scope::Pooled && elapsed >= lastCall
           ? std::optional(shift_phase::RolledBack)
           : std::nullopt;
}

void RemoveIdlePins(session_pins& aPins, duration aGap, time_point aNow)
{
  std::erase_if(aPins,
                [&](const auto& aEntry) { return aNow - aEntry.second.mLastActive > 2 * aGap; });
}

} // namespace tamarackweir::rollout
