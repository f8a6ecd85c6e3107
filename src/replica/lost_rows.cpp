#include "replica/lost_rows.h"

#include "base/digest.h"
#include "replica/table_copy.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace tamarackweir::replica {

namespace {

using row_identity = std::tuple<std::string, std::uint64_t, std::uint64_t>;

row_identity IdentityOf(const std::string& aKey, const row& aRow)
{
  return { aKey, aRow.mVersion.Value(), StableHash(aRow.mValue) };
}

const row* Find(const std::map<std::string, row>& aRows, const std::string& aKey)
{
  const auto found = aRows.find(aKey);
  return found == aRows.end() ? nullptr : &found->second;
}

/// When a key that is not in force was removed, as far as it is known.
store_version RemovalOf(const table_copy& aCopy, const std::string& aKey)
{
  if (const auto lost = aCopy.mLost.find(aKey); lost != aCopy.mLost.end()) {
    return lost->second.mVersion;
  }
  const auto removed = aCopy.mRemoved.find(aKey);
  return removed == aCopy.mRemoved.end() ? aCopy.mCompleteTo : removed->second;
}

bool IsMissing(const lost_row& aLost)
{
  return aLost.mInSnapshot.Value() == 0;
}

bool IsRemovedSince(const lost_row& aLost, store_version aReachesTo)
{
  return IsMissing(aLost) && aLost.mVersion.Era() == aReachesTo.Era() &&
         aLost.mVersion <= aReachesTo;
}

/// Drops the lost rows for which the condition holds. Returns whether there were any.
template<class Condition>
bool Drop(table_copy& aCopy, Condition aCondition)
{
  if (std::erase_if(aCopy.mLost, [&](const auto& aEntry) { return aCondition(aEntry.second); }) ==
      0) {
    return false;
  }
  UpdateRowsInForce(aCopy);
  return true;
}

} // namespace

void NoteSuperseded(superseded_rows& aRows, const std::string& aKey, const row& aRow)
{
  aRows.push_back(
    { .mKey = aKey, .mNumber = aRow.mVersion.Value(), .mHash = StableHash(aRow.mValue) });
  if (aRows.size() > kMaxSuperseded) {
    aRows.pop_front();
  }
}

snapshot_findings CompareRestored(const table_copy& aKnown, const table_copy& aRestored,
                                  missing_rows aMissing)
{
  std::set<row_identity> superseded;
  for (const superseded_row& entry : aKnown.mSuperseded) {
    superseded.insert({ entry.mKey, entry.mNumber, entry.mHash });
  }
  const auto& inForce = RowsInForce(aKnown);
  lost_rows lost;
  std::uint64_t reachesTo = 0;
  for (const auto& [key, restored] : aRestored.mRows) {
    const row_identity identity = IdentityOf(key, restored);
    const row* const before = Find(aKnown.mRows, key);
    const bool isUnchanged = before != nullptr && IdentityOf(key, *before) == identity;
    if (!isUnchanged && !superseded.contains(identity)) {
      continue;
    }
    reachesTo = std::max(reachesTo, restored.mVersion.Value());
    // An unchanged row may stand below one that was lost in an earlier era.
    if (isUnchanged && !aKnown.mLost.contains(key)) {
      continue;
    }
    const row* const known = Find(inForce, key);
    lost[key] = { .mValue = known != nullptr ? std::optional(known->mValue) : std::nullopt,
                  .mVersion = known != nullptr ? known->mVersion : RemovalOf(aKnown, key),
                  .mInSnapshot = restored.mVersion };
  }
  const store_version reach(reachesTo, aKnown.mCompleteTo.Era());
  if (aMissing == missing_rows::Kept) {
    for (const auto& [key, known] : inForce) {
      const lost_row missing{ .mValue = known.mValue,
                              .mVersion = known.mVersion,
                              .mInSnapshot = store_version(0, aRestored.mCompleteTo.Era()) };
      if (!aRestored.mRows.contains(key) && !IsRemovedSince(missing, reach)) {
        lost[key] = missing;
      }
    }
  }
  return { .mLost = std::move(lost), .mReachesTo = reach };
}

bool DropRemovedSince(table_copy& aCopy, store_version aReachesTo)
{
  return Drop(aCopy,
              [&aReachesTo](const lost_row& aLost) { return IsRemovedSince(aLost, aReachesTo); });
}

bool DropMissing(table_copy& aCopy)
{
  return Drop(aCopy, IsMissing);
}

bool DropLostRemovals(table_copy& aCopy)
{
  return Drop(aCopy, [](const lost_row& aLost) { return !aLost.mValue; });
}

void DropWrittenAgain(table_copy& aCopy)
{
  std::erase_if(aCopy.mLost, [&aCopy](const auto& aEntry) {
    const row* const present = Find(aCopy.mRows, aEntry.first);
    const std::uint64_t number = present != nullptr ? present->mVersion.Value() : 0;
    return aEntry.second.mInSnapshot.Value() != number;
  });
}

bool MergeLostRows(table_copy& aCopy, store_era aEra, const lost_rows& aLost,
                   const std::vector<std::string>& aRemovedAgain)
{
  if (aEra != aCopy.mCompleteTo.Era()) {
    return false;
  }
  const lost_rows before = aCopy.mLost;
  for (const auto& [key, lost] : aLost) {
    const auto known = aCopy.mLost.find(key);
    const bool isNewer = known == aCopy.mLost.end() || known->second.mVersion < lost.mVersion;
    if (isNewer && lost.mInSnapshot.Era() == aEra && !aCopy.mRemoved.contains(key)) {
      aCopy.mLost[key] = lost;
    }
  }
  for (const std::string& key : aRemovedAgain) {
    aCopy.mLost.erase(key);
  }
  DropWrittenAgain(aCopy);
  UpdateRowsInForce(aCopy);
  return aCopy.mLost != before;
}

void UpdateRowsInForce(table_copy& aCopy)
{
  aCopy.mInForce.clear();
  if (aCopy.mLost.empty()) {
    return;
  }
  aCopy.mInForce = aCopy.mRows;
  for (const auto& [key, lost] : aCopy.mLost) {
    if (lost.mValue) {
      aCopy.mInForce[key] = { .mValue = *lost.mValue, .mVersion = lost.mVersion };
    } else {
      aCopy.mInForce.erase(key);
    }
  }
}

} // namespace tamarackweir::replica
