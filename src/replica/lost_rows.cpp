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

std::set<row_identity> Superseded(const table_copy& aCopy)
{
  std::set<row_identity> rows;
  for (const superseded_row& entry : aCopy.mSuperseded) {
    rows.insert({ entry.mKey, entry.mNumber, entry.mHash });
  }
  return rows;
}

bool IsUnchanged(const table_copy& aKnown, const std::string& aKey, const row& aRestored)
{
  const row* const before = Find(aKnown.mRows, aKey);
  return before != nullptr && IdentityOf(aKey, *before) == IdentityOf(aKey, aRestored);
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

} // namespace

void NoteSuperseded(superseded_rows& aRows, const std::string& aKey, const row& aRow)
{
  aRows.push_back(
    { .mKey = aKey, .mNumber = aRow.mVersion.Value(), .mHash = StableHash(aRow.mValue) });
  if (aRows.size() > kMaxSuperseded) {
    aRows.pop_front();
  }
}

lost_rows FindLostRows(const table_copy& aKnown, const table_copy& aRestored, missing_rows aMissing)
{
  const std::set<row_identity> superseded = Superseded(aKnown);
  const auto& inForce = RowsInForce(aKnown);
  lost_rows lost;
  for (const auto& [key, restored] : aRestored.mRows) {
    // A row that was lost in an earlier drill as well is there as it was.
    const bool isCopied = IsUnchanged(aKnown, key, restored)
                            ? aKnown.mLost.contains(key)
                            : superseded.contains(IdentityOf(key, restored));
    if (!isCopied) {
      continue;
    }
    const row* const known = Find(inForce, key);
    lost[key] = { .mValue = known != nullptr ? std::optional(known->mValue) : std::nullopt,
                  .mVersion = known != nullptr ? known->mVersion : RemovalOf(aKnown, key),
                  .mCopied = restored.mVersion };
  }
  if (aMissing == missing_rows::Dropped) {
    return lost;
  }
  for (const auto& [key, known] : inForce) {
    if (!aRestored.mRows.contains(key)) {
      lost[key] = { .mValue = known.mValue,
                    .mVersion = known.mVersion,
                    .mCopied = store_version(0, aRestored.mCompleteTo.Era()) };
    }
  }
  return lost;
}

store_version FindCopiedTo(const table_copy& aKnown, const table_copy& aRestored)
{
  const std::set<row_identity> superseded = Superseded(aKnown);
  std::uint64_t copiedTo = 0;
  for (const auto& [key, restored] : aRestored.mRows) {
    if (IsUnchanged(aKnown, key, restored) || superseded.contains(IdentityOf(key, restored))) {
      copiedTo = std::max(copiedTo, restored.mVersion.Value());
    }
  }
  return store_version(copiedTo, aKnown.mCompleteTo.Era());
}

bool DropCopied(table_copy& aCopy, store_version aCopiedTo)
{
  const bool isChanged = std::erase_if(aCopy.mLost, [&aCopiedTo](const auto& aEntry) {
                           const lost_row& lost = aEntry.second;
                           return lost.mCopied.Value() == 0 &&
                                  lost.mVersion.Era() == aCopiedTo.Era() &&
                                  lost.mVersion <= aCopiedTo;
                         }) > 0;
  UpdateRowsInForce(aCopy);
  return isChanged;
}

bool DropLostMissing(table_copy& aCopy)
{
  const bool isChanged = std::erase_if(aCopy.mLost, [](const auto& aEntry) {
                           return aEntry.second.mCopied.Value() == 0;
                         }) > 0;
  UpdateRowsInForce(aCopy);
  return isChanged;
}

void DropWrittenAgain(table_copy& aCopy)
{
  std::erase_if(aCopy.mLost, [&aCopy](const auto& aEntry) {
    const row* const present = Find(aCopy.mRows, aEntry.first);
    return aEntry.second.mCopied.Value() != (present != nullptr ? present->mVersion.Value() : 0);
  });
}

bool DropLostRemovals(table_copy& aCopy)
{
  const bool isChanged =
    std::erase_if(aCopy.mLost, [](const auto& aEntry) { return !aEntry.second.mValue; }) > 0;
  UpdateRowsInForce(aCopy);
  return isChanged;
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
    if (isNewer && lost.mCopied.Era() == aEra && !aCopy.mRemoved.contains(key)) {
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
