#include "rollout/shift.h"

#include <algorithm>
#include <cmath>

namespace tamarackweir::rollout {

namespace {

/// Probability of at least `aHits` in `aTrials` at `aRate`.
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

struct side_counts
{
  counts mOld;
  counts mNew;
  std::map<server_id, counts> mNewByServer;
};

void AddCounts(counts& aTo, const counts& aFrom)
{
  aTo.mGood += aFrom.mGood;
  aTo.mBad += aFrom.mBad;
}

void AddResults(std::map<std::string, side_counts>& aByRoute, const shift_results& aResults)
{
  for (const auto& [key, result] : aResults) {
    // The entry without a name holds all routes together.
    for (const std::string& route : { key.mRoute, std::string() }) {
      side_counts& sides = aByRoute[route];
      AddCounts(key.mIsNew ? sides.mNew : sides.mOld, result);
      if (key.mIsNew) {
        AddCounts(sides.mNewByServer[key.mServer], result);
      }
    }
  }
}

bool IsWorse(const counts& aOld, const counts& aNew, const shift_options& aOptions,
             double aSignificance)
{
  const std::uint64_t trials = aNew.mGood + aNew.mBad;
  if (aNew.mBad == 0) {
    return false;
  }
  const double oldRate =
    (static_cast<double>(aOld.mBad) + 0.5) / (static_cast<double>(aOld.mGood + aOld.mBad) + 1);
  // With few results of the old version its rate says nothing yet.
  constexpr std::uint64_t kMinOldResults = 30;
  const double known =
    aOld.mGood + aOld.mBad >= kMinOldResults ? oldRate * aOptions.mOddsFactor : 0;
  const double rate = std::clamp(known, aOptions.mBadRateFloor, 0.9);
  return BinomialTail(trials, aNew.mBad, rate) < aSignificance;
}

/// Results of the new version without those of the server that has the most failures.
counts ResultsElsewhere(const side_counts& aSides)
{
  counts worst;
  for (const auto& [server, result] : aSides.mNewByServer) {
    if (result.mBad > worst.mBad) {
      worst = result;
    }
  }
  return { .mGood = aSides.mNew.mGood - worst.mGood, .mBad = aSides.mNew.mBad - worst.mBad };
}

bool IsWorseOnSeveralServers(const side_counts& aSides, const shift_options& aOptions)
{
  return IsWorse(aSides.mOld, aSides.mNew, aOptions, aOptions.mSignificance) &&
         (ResultsElsewhere(aSides).mBad >= 2 || aSides.mNew.mBad >= aOptions.mCertainFailures);
}

/// The results of all instances that are known here, by route; the entry without a name holds all
/// routes together.
std::map<std::string, side_counts> PoolResults(const shift& aShift)
{
  std::map<std::string, side_counts> byRoute;
  AddResults(byRoute, aShift.mOwn);
  for (const auto& [instance, results] : aShift.mOthers) {
    AddResults(byRoute, results);
  }
  return byRoute;
}

/// Whether the failures on a route, short of a proof, speak against the version.
bool IsSuspicious(const side_counts& aSides, const shift_options& aOptions)
{
  const counts elsewhere = ResultsElsewhere(aSides);
  const bool isOneServer = elsewhere.mBad == 0 && elsewhere.mGood >= aOptions.mRouteResults;
  return !isOneServer && IsWorse(aSides.mOld, aSides.mNew, aOptions, aOptions.mRollBackAt);
}

bool IsSuspicious(const std::map<std::string, side_counts>& aByRoute, const shift_options& aOptions)
{
  return std::any_of(aByRoute.begin(), aByRoute.end(), [&aOptions](const auto& aEntry) {
    return IsSuspicious(aEntry.second, aOptions);
  });
}

std::optional<shift_phase> EndOfTrial(const shift& aShift, const shift_options& aOptions,
                                      double aElapsed)
{
  const auto byRoute = PoolResults(aShift);
  const bool mayPass = std::all_of(byRoute.begin(), byRoute.end(), [&aOptions](const auto& aEntry) {
    const side_counts& sides = aEntry.second;
    return sides.mNew.mGood + sides.mNew.mBad >= aOptions.mRouteResults &&
           !IsWorse(sides.mOld, sides.mNew, aOptions, aOptions.mHoldAt);
  });
  if (mayPass) {
    return shift_phase::Passed;
  }
  if (aElapsed < aOptions.mPassAtLatest) {
    return std::nullopt;
  }
  return IsSuspicious(byRoute, aOptions) ? shift_phase::RolledBack : shift_phase::Passed;
}

/// Fraction of the shift's duration at which it succeeds.
double SuccessAt(const shift& aShift, const shift_options& aOptions)
{
  const double passed = Elapsed(aShift, *aShift.mPassedAt);
  return std::clamp(passed + aOptions.mSecondStepLength + aOptions.mDrainLength,
                    aOptions.mSuccessAt, aOptions.mSuccessAtLatest);
}

} // namespace

double Elapsed(const shift& aShift, time_point aNow)
{
  const double length =
    std::max(1e-3, std::chrono::duration<double>(aShift.mOrder.mDuration).count());
  return std::max(0.0, std::chrono::duration<double>(aNow - aShift.mStarted).count() / length);
}

double NewShare(const shift& aShift, const shift_options& aOptions, time_point aNow)
{
  if (aShift.mProgress && aShift.mProgress->mPhase == shift_phase::Succeeded) {
    return 1;
  }
  if (!IsRunning(aShift)) {
    return 0;
  }
  const double elapsed = Elapsed(aShift, aNow);
  if (aNow - aShift.mStarted < aOptions.mNotice) {
    return 0;
  }
  if (elapsed < aOptions.mTrialEnd) {
    return aOptions.mTrialShare;
  }
  if (!aShift.mPassedAt) {
    return aOptions.mProbeShare;
  }
  return elapsed - Elapsed(aShift, *aShift.mPassedAt) < aOptions.mSecondStepLength
           ? aOptions.mSecondStepShare
           : 1;
}

std::vector<std::uint64_t> SessionsToKeep(const shift_options& aOptions, const session_pins& aPins,
                                          time_point aNow)
{
  std::vector<std::uint64_t> kept;
  for (const auto& [session, pin] : aPins) {
    if (!pin.mIsNew && pin.mPoint < aOptions.mTrialShare &&
        aNow - pin.mLastActive < aOptions.mSessionGap) {
      kept.push_back(session);
    }
  }
  return kept;
}

side PickSide(const shift& aShift, const shift_options& aOptions, double aPoint,
              std::optional<std::uint64_t> aSession, session_pins& aPins, time_point aNow)
{
  const double share = NewShare(aShift, aOptions, aNow);
  bool isNew = aPoint < share;
  if (!aSession) {
    return isNew ? side::New : side::Old;
  }
  const auto pin = aPins.find(*aSession);
  const bool isUnderWay =
    pin != aPins.end() && aNow - pin->second.mLastActive < aOptions.mSessionGap;
  if (IsRunning(aShift)) {
    const bool isTrial = Elapsed(aShift, aNow) < aOptions.mTrialEnd;
    if (isUnderWay && pin->second.mIsNew) {
      isNew = true;
    } else if (isTrial && (isUnderWay || aShift.mKeptSessions.contains(*aSession))) {
      isNew = false;
    }
  }
  aPins[*aSession] = session_pin{ .mIsNew = isNew, .mPoint = aPoint, .mLastActive = aNow };
  return isNew ? side::New : side::Old;
}

bool IsRunning(const shift& aShift)
{
  return !aShift.mIsHalted &&
         (!aShift.mProgress || aShift.mProgress->mPhase == shift_phase::Running ||
          aShift.mProgress->mPhase == shift_phase::Passed);
}

void Record(shift& aShift, const result_key& aKey, bool aGood)
{
  counts& result = aShift.mOwn[aKey];
  ++(aGood ? result.mGood : result.mBad);
}

void MergeResults(shift& aShift, const std::string& aInstance, const shift_results& aResults)
{
  shift_results& known = aShift.mOthers[aInstance];
  for (const auto& [key, result] : aResults) {
    counts& entry = known[key];
    entry.mGood = std::max(entry.mGood, result.mGood);
    entry.mBad = std::max(entry.mBad, result.mBad);
  }
}

bool IsBad(const shift& aShift, const shift_options& aOptions)
{
  const auto byRoute = PoolResults(aShift);
  return std::any_of(byRoute.begin(), byRoute.end(), [&aOptions](const auto& aEntry) {
    return IsWorseOnSeveralServers(aEntry.second, aOptions);
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
  const double elapsed = Elapsed(aShift, aNow);
  if (phase == shift_phase::Running) {
    return aScope == evidence_scope::Pooled && elapsed >= aOptions.mTrialEnd
             ? EndOfTrial(aShift, aOptions, elapsed)
             : std::nullopt;
  }
  const bool isDue = aShift.mPassedAt && elapsed >= SuccessAt(aShift, aOptions);
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

void ForgetSessions(session_pins& aPins, duration aGap, time_point aNow)
{
  std::erase_if(aPins,
                [&](const auto& aEntry) { return aNow - aEntry.second.mLastActive > 2 * aGap; });
}

} // namespace tamarackweir::rollout
