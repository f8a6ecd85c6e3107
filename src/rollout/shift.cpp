#include "rollout/shift.h"

#include <algorithm>
#include <cmath>

namespace tamarackweir::rollout {

namespace {

/// Returns the probability of at least `aHits` successes in `aTrials` trials with probability
/// `aRate` each.
double BinomialTail(std::uint64_t aTrials, std::uint64_t aHits, double aRate)
{
  double logTerm = static_cast<double>(aTrials) * std::log1p(-aRate);
  double below = 0;
  for (std::uint64_t k = 0; k < aHits; ++k) {
    below += std::exp(logTerm);
    logTerm += std::log(static_cast<double>(aTrials - k)) - std::log(static_cast<double>(k + 1)) +
               std::log(aRate) - std::log1p(-aRate);
  }
  return std::max(0.0, 1 - below);
}

struct version_counts
{
  result_counts mOld;
  result_counts mNew;
  std::map<server_id, result_counts> mNewByServer;
};

void AddCounts(result_counts& aTo, const result_counts& aFrom)
{
  aTo.mGood += aFrom.mGood;
  aTo.mBad += aFrom.mBad;
}

void AddResults(std::map<std::string, version_counts>& aByRoute, const shift_results& aResults)
{
  for (const auto& [key, result] : aResults) {
    // The entry with an empty name sums all routes.
    for (const std::string& route : { key.mRoute, std::string() }) {
      version_counts& routeCounts = aByRoute[route];
      AddCounts(key.mIsNew ? routeCounts.mNew : routeCounts.mOld, result);
      if (key.mIsNew) {
        AddCounts(routeCounts.mNewByServer[key.mServer], result);
      }
    }
  }
}

bool IsWorse(const result_counts& aOld, const result_counts& aNew, const shift_options& aOptions,
             double aSignificance)
{
  const std::uint64_t trials = aNew.mGood + aNew.mBad;
  if (aNew.mBad == 0) {
    return false;
  }
  const double oldRate =
    (static_cast<double>(aOld.mBad) + 0.5) / (static_cast<double>(aOld.mGood + aOld.mBad) + 1);
  // With fewer results of the old version, its rate is too uncertain to compare with.
  constexpr std::uint64_t kMinOldResults = 30;
  const double tolerated =
    aOld.mGood + aOld.mBad >= kMinOldResults ? oldRate * aOptions.mBadRateFactor : 0;
  const double rate = std::clamp(tolerated, aOptions.mBadRateFloor, 0.9);
  return BinomialTail(trials, aNew.mBad, rate) < aSignificance;
}

/// Returns the new version's results without those of the server with the most failures.
result_counts ResultsWithoutWorstServer(const version_counts& aCounts)
{
  result_counts worst;
  for (const auto& [server, result] : aCounts.mNewByServer) {
    if (result.mBad > worst.mBad) {
      worst = result;
    }
  }
  return { .mGood = aCounts.mNew.mGood - worst.mGood, .mBad = aCounts.mNew.mBad - worst.mBad };
}

bool IsProvenWorse(const version_counts& aCounts, const shift_options& aOptions)
{
  return IsWorse(aCounts.mOld, aCounts.mNew, aOptions, aOptions.mHaltSignificance) &&
         (ResultsWithoutWorstServer(aCounts).mBad >= 2 ||
          aCounts.mNew.mBad >= aOptions.mConclusiveFailures);
}

/// Sums the known results of all instances by route; the entry with an empty name sums all routes.
std::map<std::string, version_counts> PoolResults(const shift& aShift)
{
  std::map<std::string, version_counts> byRoute;
  AddResults(byRoute, aShift.mOwnResults);
  for (const auto& [instance, results] : aShift.mPeerResults) {
    AddResults(byRoute, results);
  }
  return byRoute;
}

/// Returns whether the failures on a route suggest, but need not prove, that the version is bad.
bool IsSuspicious(const version_counts& aCounts, const shift_options& aOptions)
{
  const result_counts elsewhere = ResultsWithoutWorstServer(aCounts);
  const bool isSingleServerFault =
    elsewhere.mBad == 0 && elsewhere.mGood >= aOptions.mMinRouteResults;
  return !isSingleServerFault &&
         IsWorse(aCounts.mOld, aCounts.mNew, aOptions, aOptions.mRollBackSignificance);
}

bool IsSuspicious(const std::map<std::string, version_counts>& aByRoute,
                  const shift_options& aOptions)
{
  return std::any_of(aByRoute.begin(), aByRoute.end(), [&aOptions](const auto& aEntry) {
    return IsSuspicious(aEntry.second, aOptions);
  });
}

std::optional<shift_phase> PhaseAfterCanary(const shift& aShift, const shift_options& aOptions,
                                            double aElapsed)
{
  const auto byRoute = PoolResults(aShift);
  const bool canPass = std::all_of(byRoute.begin(), byRoute.end(), [&aOptions](const auto& aEntry) {
    const version_counts& routeCounts = aEntry.second;
    return routeCounts.mNew.mGood + routeCounts.mNew.mBad >= aOptions.mMinRouteResults &&
           !IsWorse(routeCounts.mOld, routeCounts.mNew, aOptions, aOptions.mHoldSignificance);
  });
  if (canPass) {
    return shift_phase::Passed;
  }
  if (aElapsed < aOptions.mPassAtLatest) {
    return std::nullopt;
  }
  return IsSuspicious(byRoute, aOptions) ? shift_phase::RolledBack : shift_phase::Passed;
}

/// Returns the fraction of the shift's duration at which it may succeed.
double SuccessFraction(const shift& aShift, const shift_options& aOptions)
{
  const double passed = ElapsedFraction(aShift, *aShift.mPassedAt);
  return std::clamp(passed + aOptions.mSecondStepLength + aOptions.mDrainLength,
                    aOptions.mSuccessAt, aOptions.mSuccessAtLatest);
}

} // namespace

double ElapsedFraction(const shift& aShift, time_point aNow)
{
  const double length =
    std::max(1e-3, std::chrono::duration<double>(aShift.mOrder.mDuration).count());
  return std::max(0.0, std::chrono::duration<double>(aNow - aShift.mStartedAt).count() / length);
}

double NewVersionShare(const shift& aShift, const shift_options& aOptions, time_point aNow)
{
  if (aShift.mProgress && aShift.mProgress->mPhase == shift_phase::Succeeded) {
    return 1;
  }
  if (!IsRunning(aShift)) {
    return 0;
  }
  const double elapsed = ElapsedFraction(aShift, aNow);
  if (aNow - aShift.mStartedAt < aOptions.mStartDelay) {
    return 0;
  }
  if (elapsed < aOptions.mCanaryEnd) {
    return aOptions.mCanaryShare;
  }
  if (!aShift.mPassedAt) {
    return aOptions.mProbeShare;
  }
  return elapsed - ElapsedFraction(aShift, *aShift.mPassedAt) < aOptions.mSecondStepLength
           ? aOptions.mSecondStepShare
           : 1;
}

std::vector<std::uint64_t> SessionsToKeepOnOldVersion(const shift_options& aOptions,
                                                      const session_pins& aPins, time_point aNow)
{
  std::vector<std::uint64_t> kept;
  for (const auto& [session, pin] : aPins) {
    if (!pin.mIsNew && pin.mHashPoint < aOptions.mCanaryShare &&
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

bool IsRunning(const shift& aShift)
{
  return !aShift.mIsHalted &&
         (!aShift.mProgress || aShift.mProgress->mPhase == shift_phase::Running ||
          aShift.mProgress->mPhase == shift_phase::Passed);
}

void RecordResult(shift& aShift, const result_key& aKey, bool aGood)
{
  result_counts& result = aShift.mOwnResults[aKey];
  ++(aGood ? result.mGood : result.mBad);
}

void MergeResults(shift& aShift, const std::string& aInstance, const shift_results& aResults)
{
  shift_results& known = aShift.mPeerResults[aInstance];
  for (const auto& [key, result] : aResults) {
    result_counts& entry = known[key];
    entry.mGood = std::max(entry.mGood, result.mGood);
    entry.mBad = std::max(entry.mBad, result.mBad);
  }
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
  if (phase == shift_phase::Running) {
    return aScope == evidence_scope::Pooled && elapsed >= aOptions.mCanaryEnd
             ? PhaseAfterCanary(aShift, aOptions, elapsed)
             : std::nullopt;
  }
  const bool isDue = aShift.mPassedAt && elapsed >= SuccessFraction(aShift, aOptions);
  if (!isDue || (aScope == evidence_scope::Own && elapsed < aOptions.mDecideAt)) {
    return std::nullopt;
  }
  if (!IsSuspicious(PoolResults(aShift), aOptions)) {
    return shift_phase::Succeeded;
  }
  return aScope == evidence_scope::Pooled && elapsed >= aOptions.mDecideAt
           ? std::optional(shift_phase::RolledBack)
           : std::nullopt;
}

void RemoveIdlePins(session_pins& aPins, duration aGap, time_point aNow)
{
  std::erase_if(aPins,
                [&](const auto& aEntry) { return aNow - aEntry.second.mLastActive > 2 * aGap; });
}

} // namespace tamarackweir::rollout
