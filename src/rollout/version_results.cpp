#include "rollout/version_results.h"

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

} // namespace

tally Failures(const shift_counts& aCounts)
{
  return { .mGood = aCounts.mGood, .mBad = aCounts.mBad };
}

tally SlowAnswers(const shift_counts& aCounts)
{
  return { .mGood = aCounts.mOnPace, .mBad = aCounts.mSlow };
}

namespace {

void AddCounts(shift_counts& aTo, const shift_counts& aFrom)
{
  aTo.mGood += aFrom.mGood;
  aTo.mBad += aFrom.mBad;
  aTo.mOnPace += aFrom.mOnPace;
  aTo.mSlow += aFrom.mSlow;
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
        if (key.mIsLoaded) {
          AddCounts(routeCounts.mLoadedByServer[key.mServer], result);
        }
      }
    }
  }
}

/// With fewer results of the old version, its rate is too uncertain to compare with.
constexpr std::uint64_t kMinOldResults = 30;

} // namespace

double ToleratedRate(const tally& aOld, double aFloor, double aFactor)
{
  const double oldRate =
    (static_cast<double>(aOld.mBad) + 0.5) / (static_cast<double>(aOld.Trials()) + 1);
  const double tolerated = aOld.Trials() >= kMinOldResults ? oldRate * aFactor : 0;
  return std::clamp(tolerated, aFloor, 0.9);
}

bool IsAbove(const tally& aTrials, double aRate, double aSignificance)
{
  return aTrials.mBad > 0 && BinomialTail(aTrials.Trials(), aTrials.mBad, aRate) < aSignificance;
}

bool FailsMore(const version_counts& aCounts, const shift_options& aOptions, double aSignificance)
{
  const double rate =
    ToleratedRate(Failures(aCounts.mOld), aOptions.mBadRateFloor, aOptions.mBadRateFactor);
  return IsAbove(Failures(aCounts.mNew), rate, aSignificance);
}

namespace {

/// Servers of the new version by the pace of most of their answers.
struct server_paces
{
  std::size_t mJudged = 0;
  std::size_t mSlow = 0; ///< more answers are slow than are not
};

server_paces CountServersByPace(const version_counts& aCounts)
{
  server_paces result;
  for (const auto& [server, counts] : aCounts.mNewByServer) {
    result.mJudged += counts.mOnPace + counts.mSlow > 0 ? 1 : 0;
    result.mSlow += counts.mSlow > counts.mOnPace ? 1 : 0;
  }
  return result;
}

/// Returns the new version's answers by pace without those of the server with the most slow ones.
tally PaceWithoutSlowestServer(const version_counts& aCounts)
{
  tally slowest;
  for (const auto& [server, counts] : aCounts.mNewByServer) {
    if (counts.mSlow > slowest.mBad) {
      slowest = SlowAnswers(counts);
    }
  }
  return { .mGood = aCounts.mNew.mOnPace - slowest.mGood,
           .mBad = aCounts.mNew.mSlow - slowest.mBad };
}

} // namespace

bool IsSlowEverywhere(const version_counts& aCounts, const shift_options& aOptions,
                      double aSignificance)
{
  const tally answers = SlowAnswers(aCounts.mNew);
  const server_paces servers = CountServersByPace(aCounts);
  const auto isNearlyAll = [&aOptions](std::uint64_t aPart, std::uint64_t aAll) {
    return static_cast<double>(aPart) >= aOptions.mSlowEverywhereShare * static_cast<double>(aAll);
  };
  const tally old = SlowAnswers(aCounts.mOld);
  return old.Trials() >= kMinOldResults && answers.Trials() >= aOptions.mMinSlowEverywhere &&
         servers.mSlow >= 2 && isNearlyAll(servers.mSlow, servers.mJudged) &&
         isNearlyAll(answers.mBad, answers.Trials()) &&
         IsAbove(answers, ToleratedRate(old, aOptions.mSlowRateFloor, 1), aSignificance);
}

bool IsSlower(const version_counts& aCounts, const shift_options& aOptions, double aSignificance)
{
  if (SlowAnswers(aCounts.mNew).Trials() < aOptions.mMinPaceResults) {
    return false;
  }
  // Some servers may be slow from causes of their own.
  const server_paces servers = CountServersByPace(aCounts);
  const double rate =
    ToleratedRate(SlowAnswers(aCounts.mOld), aOptions.mSlowRateFloor, aOptions.mSlowRateFactor);
  return 2 * servers.mSlow >= servers.mJudged &&
         IsAbove(PaceWithoutSlowestServer(aCounts), rate, aSignificance);
}

namespace {

/// Returns the new version's failures without those of the server with the most of them.
tally FailuresWithoutWorstServer(const version_counts& aCounts)
{
  tally worst;
  for (const auto& [server, result] : aCounts.mNewByServer) {
    if (result.mBad > worst.mBad) {
      worst = Failures(result);
    }
  }
  return { .mGood = aCounts.mNew.mGood - worst.mGood, .mBad = aCounts.mNew.mBad - worst.mBad };
}

/// Returns whether also the servers without the worst one fail more than is tolerated.
bool FailsElsewhere(const version_counts& aCounts, const shift_options& aOptions,
                    double aSignificance)
{
  const double rate =
    ToleratedRate(Failures(aCounts.mOld), aOptions.mBadRateFloor, aOptions.mBadRateFactor);
  return IsAbove(FailuresWithoutWorstServer(aCounts), rate, aSignificance);
}

/// Results under load, and the failure rate above which they show a fault of the version.
struct loaded_tally
{
  tally mFailures;
  double mToleratedRate = 0; ///< mean
};

/// The results under load of the servers that are known without it. A server that failed as often
/// before may be faulty itself, so its own rate is tolerated.
loaded_tally FailuresUnderLoad(const version_counts& aCounts, const shift_options& aOptions)
{
  const double usual =
    ToleratedRate(Failures(aCounts.mOld), aOptions.mBadRateFloor, aOptions.mBadRateFactor);
  loaded_tally result;
  double tolerated = 0;
  for (const auto& [server, counts] : aCounts.mLoadedByServer) {
    const tally all = Failures(aCounts.mNewByServer.at(server));
    const tally loaded = Failures(counts);
    const tally before{ .mGood = all.mGood - loaded.mGood, .mBad = all.mBad - loaded.mBad };
    if (before.Trials() < aOptions.mMinResults) {
      continue;
    }
    const double own =
      (static_cast<double>(before.mBad) + 0.5) / (static_cast<double>(before.Trials()) + 1);
    tolerated +=
      std::clamp(own * aOptions.mBadRateFactor, usual, 0.9) * static_cast<double>(loaded.Trials());
    result.mFailures.mGood += loaded.mGood;
    result.mFailures.mBad += loaded.mBad;
  }
  result.mToleratedRate =
    tolerated / static_cast<double>(std::max<std::uint64_t>(1, result.mFailures.Trials()));
  return result;
}

bool FailsUnderLoad(const version_counts& aCounts, const shift_options& aOptions,
                    double aSignificance)
{
  const loaded_tally loaded = FailuresUnderLoad(aCounts, aOptions);
  return IsAbove(loaded.mFailures, loaded.mToleratedRate, aSignificance);
}

} // namespace

bool IsProvenWorse(const version_counts& aCounts, const shift_options& aOptions)
{
  const tally elsewhere = FailuresWithoutWorstServer(aCounts);
  const bool failsOnSeveral =
    elsewhere.mBad >= 2 && FailsElsewhere(aCounts, aOptions, aOptions.mRollBackSignificance);
  const bool failsOnOnly =
    elsewhere.Trials() < aOptions.mMinResults && aCounts.mNew.mBad >= aOptions.mConclusiveFailures;
  const bool fails =
    FailsMore(aCounts, aOptions, aOptions.mHaltSignificance) && (failsOnSeveral || failsOnOnly);
  // A crash of the server in use makes fewer requests fail.
  const bool failsUnderLoad =
    FailuresUnderLoad(aCounts, aOptions).mFailures.mBad >= aOptions.mConclusiveFailures &&
    FailsUnderLoad(aCounts, aOptions, aOptions.mHaltSignificance);
  return fails || failsUnderLoad || IsSlower(aCounts, aOptions, aOptions.mHaltSignificance);
}

std::map<std::string, version_counts> PoolResults(const shift& aShift)
{
  std::map<std::string, version_counts> byRoute;
  AddResults(byRoute, aShift.mOwnResults);
  for (const auto& [instance, results] : aShift.mPeerResults) {
    AddResults(byRoute, results);
  }
  return byRoute;
}

namespace {

/// Returns whether the results on a route suggest, but need not prove, that the version is bad.
bool IsSuspicious(const version_counts& aCounts, const shift_options& aOptions)
{
  const tally elsewhere = FailuresWithoutWorstServer(aCounts);
  const bool isSingleServerFault =
    elsewhere.mGood >= aOptions.mMinRouteResults &&
    !FailsElsewhere(aCounts, aOptions, aOptions.mElsewhereSignificance);
  return (!isSingleServerFault && FailsMore(aCounts, aOptions, aOptions.mRollBackSignificance)) ||
         FailsUnderLoad(aCounts, aOptions, aOptions.mRollBackSignificance) ||
         IsSlower(aCounts, aOptions, aOptions.mSlowRollBackSignificance);
}

} // namespace

bool IsSuspicious(const std::map<std::string, version_counts>& aByRoute,
                  const shift_options& aOptions)
{
  const auto all = aByRoute.find("");
  return (all != aByRoute.end() &&
          IsSlowEverywhere(all->second, aOptions, aOptions.mSlowRollBackSignificance)) ||
         std::any_of(aByRoute.begin(), aByRoute.end(), [&aOptions](const auto& aEntry) {
           return IsSuspicious(aEntry.second, aOptions);
         });
}

} // namespace tamarackweir::rollout
