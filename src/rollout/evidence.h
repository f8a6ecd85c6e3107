#pragma once

#include "base/ids.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace tamarackweir::rollout {

/// Identifies a result counter: the version and step of a roll-out that it counts, and the instance
/// and process start that own it.
struct counter_key
{
  owner_id mOwner;
  std::string mRollout;
  std::uint32_t mStep = 0; ///< index of the share step during which the request was dispatched
  version_id mVersion;
  instance_id mInstance;
  start_epoch mEpoch; ///< a restart under the same id counts from zero again

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 reports the compiler's comparison with 0
  auto operator<=>(const counter_key&) const = default;
};

/// Numbers of good and bad results of a version. Both only grow.
struct result_counts
{
  std::uint64_t mGood = 0;
  std::uint64_t mBad = 0;

  bool operator==(const result_counts&) const = default;
};

/// Grow-only counters (a CRDT). Merging takes the maximum of each number, so lost, repeated and
/// reordered deltas do no harm.
using evidence = std::map<counter_key, result_counts>;

void RecordResult(evidence& aEvidence, const counter_key& aKey, bool aGood);

/// Merges a delta by taking the maximum of each number; returns whether any number grew.
bool Merge(evidence& aEvidence, const evidence& aDelta);

/// Returns the counters of `aEvidence` that exceed those that the peer is known to hold.
evidence Delta(const evidence& aEvidence, const evidence& aHeldByPeer);

/// Sums the results of a version over all instances, for one step or, if `aStep` < 0, for all.
result_counts PoolCounts(const evidence& aEvidence, const owner_id& aOwner,
                         const std::string& aRollout, const version_id& aVersion,
                         std::int64_t aStep = -1);

} // namespace tamarackweir::rollout
