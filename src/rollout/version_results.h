#pragma once

#include "rollout/shift.h"

#include <map>
#include <string>

namespace tamarackweir::rollout {

/// Trials of one kind and how many of them went wrong.
struct tally
{
  std::uint64_t mGood = 0;
  std::uint64_t mBad = 0;

  std::uint64_t Trials() const { return mGood + mBad; }
};

tally Failures(const shift_counts& aCounts);
tally SlowAnswers(const shift_counts& aCounts);

/// Results of both versions, of a route or of all routes.
struct version_counts
{
  shift_counts mOld;
  shift_counts mNew;
  std::map<server_id, shift_counts> mNewByServer;
  std::map<server_id, shift_counts> mLoadedByServer; ///< the part sent under load
};

/// Sums the known results of all instances by route; the entry with an empty name sums all routes.
std::map<std::string, version_counts> PoolResults(const shift& aShift);

/// The rate above which a version is worse than the old one.
double ToleratedRate(const tally& aOld, double aFloor, double aFactor);

/// Returns whether a rate is so low that the trials are not explained by it.
bool IsAbove(const tally& aTrials, double aRate, double aSignificance);

bool FailsMore(const version_counts& aCounts, const shift_options& aOptions, double aSignificance);

/// Whether nearly all answers of nearly all servers are slow. A single slow machine does not
/// explain that, so no server is left out and few results suffice. Only for decisions that are
/// taken once: repeated with each result, the test would reject good versions.
bool IsSlowEverywhere(const version_counts& aCounts, const shift_options& aOptions,
                      double aSignificance);

bool IsSlower(const version_counts& aCounts, const shift_options& aOptions, double aSignificance);

/// Returns whether the results on a route prove that the version is bad.
bool IsProvenWorse(const version_counts& aCounts, const shift_options& aOptions);

/// Returns whether the results on any route suggest, but need not prove, that the version is bad.
bool IsSuspicious(const std::map<std::string, version_counts>& aByRoute,
                  const shift_options& aOptions);

} // namespace tamarackweir::rollout
