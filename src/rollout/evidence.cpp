#include "rollout/evidence.h"

#include <algorithm>

namespace tamarackweir::rollout {

void RecordResult(evidence& aEvidence, const counter_key& aKey, bool aGood)
{
  result_counts& counter = aEvidence[aKey];
  ++(aGood ? counter.mGood : counter.mBad);
}

bool Merge(evidence& aEvidence, const evidence& aDelta)
{
  bool grew = false;
  for (const auto& [key, other] : aDelta) {
    result_counts& own = aEvidence[key];
    grew = grew || other.mGood > own.mGood || other.mBad > own.mBad;
    own.mGood = std::max(own.mGood, other.mGood);
    own.mBad = std::max(own.mBad, other.mBad);
  }
  return grew;
}

evidence Delta(const evidence& aEvidence, const evidence& aHeldByPeer)
{
  evidence delta;
  for (const auto& [key, own] : aEvidence) {
    const auto held = aHeldByPeer.find(key);
    if (held == aHeldByPeer.end() || own.mGood > held->second.mGood ||
        own.mBad > held->second.mBad) {
      delta.emplace(key, own);
    }
  }
  return delta;
}

result_counts PoolCounts(const evidence& aEvidence, const owner_id& aOwner,
                         const std::string& aRollout, const version_id& aVersion,
                         std::int64_t aStep)
{
  result_counts sum;
  for (const auto& [key, one] : aEvidence) {
    if (key.mOwner == aOwner && key.mRollout == aRollout && key.mVersion == aVersion &&
        (aStep < 0 || key.mStep == aStep)) {
      sum.mGood += one.mGood;
      sum.mBad += one.mBad;
    }
  }
  return sum;
}

} // namespace tamarackweir::rollout
