#include "replica/table_copy.h"

#include <algorithm>

namespace tamarackweir::replica {

namespace {

void LimitHistory(table_copy& aCopy)
{
  if (aCopy.mRemoved.size() > kMaxRemoved) {
    aCopy.mRemoved.clear();
    aCopy.mHistoryFrom = aCopy.mCompleteTo;
  }
}

/// Notes the rows of `aBefore` that `aAfter` has no more.
void NoteReplaced(superseded_rows& aSuperseded, const std::map<std::string, row>& aBefore,
                  const std::map<std::string, row>& aAfter)
{
  for (const auto& [key, before] : aBefore) {
    const auto after = aAfter.find(key);
    if (after == aAfter.end() || after->second.mVersion.Value() != before.mVersion.Value() ||
        after->second.mValue != before.mValue) {
      NoteSuperseded(aSuperseded, key, before);
    }
  }
}

/// Removes the rows whose keys are not among `aKeys`. What else came and went meanwhile is not
/// known.
void RemoveOthers(table_copy& aCopy, const std::set<std::string>& aKeys)
{
  if (std::erase_if(aCopy.mRows, [&aCopy, &aKeys](const auto& aRow) {
        const bool isGone = !aKeys.contains(aRow.first);
        if (isGone) {
          NoteSuperseded(aCopy.mSuperseded, aRow.first, aRow.second);
        }
        return isGone;
      }) > 0) {
    aCopy.mLastChange = aCopy.mCompleteTo;
  }
  aCopy.mHistoryFrom = aCopy.mCompleteTo;
  aCopy.mRemoved.clear();
}

} // namespace

bool Replace(table_copy& aCopy, table_copy aNewer, missing_rows aMissing)
{
  if (aNewer.mCompleteTo <= aCopy.mCompleteTo) {
    return false;
  }
  const bool isNewEra = aCopy.IsKnown() && aNewer.mCompleteTo.Era() != aCopy.mCompleteTo.Era();
  if (isNewEra) {
    snapshot_findings findings = CompareRestored(aCopy, aNewer, aMissing);
    aNewer.mLost = std::move(findings.mLost);
    aNewer.mSnapshotReachesTo = findings.mReachesTo;
  } else {
    aNewer.mLost = std::move(aCopy.mLost);
    aNewer.mSnapshotReachesTo = aCopy.mSnapshotReachesTo;
    DropWrittenAgain(aNewer);
  }
  aNewer.mSuperseded = std::move(aCopy.mSuperseded);
  NoteReplaced(aNewer.mSuperseded, aCopy.mRows, aNewer.mRows);
  aNewer.mLastChange = std::max(aCopy.mLastChange, aNewer.mLastChange);
  for (const auto& [key, value] : aNewer.mRows) {
    aNewer.mLastChange = std::max(aNewer.mLastChange, value.mVersion);
  }
  for (const auto& [key, value] : aCopy.mRows) {
    if (!aNewer.mRows.contains(key)) {
      aNewer.mLastChange = aNewer.mCompleteTo;
    }
  }
  if (isNewEra) {
    aNewer.mLastChange = aNewer.mCompleteTo;
  }
  // Rows may have come and gone meanwhile without this copy ever holding them.
  aNewer.mHistoryFrom = aNewer.mCompleteTo;
  aNewer.mRemoved.clear();
  aCopy = std::move(aNewer);
  LimitHistory(aCopy);
  UpdateRowsInForce(aCopy);
  return true;
}

void Apply(table_copy& aCopy, const std::vector<row_change>& aChanges, store_version aCompleteTo)
{
  for (const row_change& change : aChanges) {
    // A peer's copy may have brought the row, or its removal, first.
    if (change.mVersion <= aCopy.mCompleteTo) {
      continue;
    }
    if (const auto before = aCopy.mRows.find(change.mKey); before != aCopy.mRows.end()) {
      NoteSuperseded(aCopy.mSuperseded, change.mKey, before->second);
    }
    aCopy.mLost.erase(change.mKey);
    aCopy.mLastChange = std::max(aCopy.mLastChange, change.mVersion);
    if (change.mValue) {
      aCopy.mRows[change.mKey] = row{ .mValue = *change.mValue, .mVersion = change.mVersion };
      aCopy.mRemoved.erase(change.mKey);
    } else {
      aCopy.mRows.erase(change.mKey);
      aCopy.mRemoved[change.mKey] = change.mVersion;
    }
  }
  aCopy.mCompleteTo = std::max(aCopy.mCompleteTo, aCompleteTo);
  LimitHistory(aCopy);
  UpdateRowsInForce(aCopy);
}

std::optional<table_update> NewsFor(const table_copy& aCopy, store_version aKnown,
                                    bool aMaySendKeys, const std::set<std::string>& aKnownLost)
{
  // A peer that is ahead has seen which lost rows were written again.
  if (!aCopy.IsKnown() || aCopy.mCompleteTo < aKnown) {
    return std::nullopt;
  }
  table_update news{ .mCompleteTo = aCopy.mCompleteTo, .mLastChange = aCopy.mLastChange };
  for (const auto& [key, lost] : aCopy.mLost) {
    if (!aKnownLost.contains(key)) {
      news.mLost.emplace(key, lost);
    }
  }
  for (const std::string& key : aKnownLost) {
    if (!aCopy.mRows.contains(key) && aCopy.mRemoved.contains(key)) {
      news.mRemovedAgain.push_back(key);
    }
  }
  if (aCopy.mLastChange <= aKnown) {
    if (news.mLost.empty() && news.mRemovedAgain.empty()) {
      return std::nullopt;
    }
    news.mAfter = aKnown;
    return news;
  }
  const bool knowsRemovals = aKnown >= aCopy.mHistoryFrom;
  const bool isDelta = aKnown.Value() > 0 && aKnown.Era() == aCopy.mCompleteTo.Era() &&
                       (knowsRemovals || aMaySendKeys);
  if (isDelta) {
    news.mAfter = aKnown;
    if (!knowsRemovals) {
      news.mKeys.emplace();
      for (const auto& [key, value] : aCopy.mRows) {
        news.mKeys->insert(news.mKeys->end(), key);
      }
    }
    for (const auto& [key, version] : aCopy.mRemoved) {
      if (version > aKnown) {
        news.mChanges.push_back({ .mKey = key, .mVersion = version });
      }
    }
  }
  for (const auto& [key, value] : aCopy.mRows) {
    if (!isDelta || value.mVersion > aKnown) {
      news.mChanges.push_back({ .mKey = key, .mValue = value.mValue, .mVersion = value.mVersion });
    }
  }
  return news;
}

bool IsUrgent(const table_update& aUpdate)
{
  return !aUpdate.mAfter || *aUpdate.mAfter < aUpdate.mLastChange;
}

namespace {

bool MergeRows(table_copy& aCopy, const table_update& aUpdate, missing_rows aMissing)
{
  if (aUpdate.mCompleteTo <= aCopy.mCompleteTo) {
    return false;
  }
  if (!aUpdate.mAfter) {
    table_copy whole{ .mCompleteTo = aUpdate.mCompleteTo, .mLastChange = aUpdate.mLastChange };
    for (const row_change& change : aUpdate.mChanges) {
      whole.mRows[change.mKey] =
        row{ .mValue = change.mValue.value_or(""), .mVersion = change.mVersion };
    }
    return Replace(aCopy, std::move(whole), aMissing);
  }
  if (!aCopy.IsKnown() || aCopy.mCompleteTo < *aUpdate.mAfter ||
      aCopy.mCompleteTo.Era() != aUpdate.mCompleteTo.Era()) {
    return false;
  }
  Apply(aCopy, aUpdate.mChanges, aUpdate.mCompleteTo);
  if (aUpdate.mKeys) {
    RemoveOthers(aCopy, *aUpdate.mKeys);
  }
  aCopy.mLastChange = std::max(aCopy.mLastChange, aUpdate.mLastChange);
  return true;
}

} // namespace

bool Merge(table_copy& aCopy, const table_update& aUpdate, missing_rows aMissing)
{
  const bool hasRows = MergeRows(aCopy, aUpdate, aMissing);
  const bool hasLost =
    MergeLostRows(aCopy, aUpdate.mCompleteTo.Era(), aUpdate.mLost, aUpdate.mRemovedAgain);
  return hasRows || hasLost;
}

} // namespace tamarackweir::replica
