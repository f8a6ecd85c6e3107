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

/// Removes the rows whose keys are not among `aKeys`. What else came and went meanwhile is not
/// known.
void RemoveOthers(table_copy& aCopy, const std::set<std::string>& aKeys)
{
  if (std::erase_if(aCopy.mRows,
                    [&aKeys](const auto& aRow) { return !aKeys.contains(aRow.first); }) > 0) {
    aCopy.mLastChange = aCopy.mCompleteTo;
  }
  aCopy.mHistoryFrom = aCopy.mCompleteTo;
  aCopy.mRemoved.clear();
}

} // namespace

bool Replace(table_copy& aCopy, table_copy aNewer)
{
  if (aNewer.mCompleteTo <= aCopy.mCompleteTo) {
    return false;
  }
  aNewer.mLastChange = std::max(aCopy.mLastChange, aNewer.mLastChange);
  for (const auto& [key, value] : aNewer.mRows) {
    aNewer.mLastChange = std::max(aNewer.mLastChange, value.mVersion);
  }
  for (const auto& [key, value] : aCopy.mRows) {
    if (!aNewer.mRows.contains(key)) {
      aNewer.mLastChange = aNewer.mCompleteTo;
    }
  }
  // Rows may have come and gone meanwhile without this copy ever holding them.
  aNewer.mHistoryFrom = aNewer.mCompleteTo;
  aNewer.mRemoved.clear();
  aCopy = std::move(aNewer);
  LimitHistory(aCopy);
  return true;
}

void Apply(table_copy& aCopy, const std::vector<row_change>& aChanges, store_version aCompleteTo)
{
  for (const row_change& change : aChanges) {
    // A peer's copy may have brought the row, or its removal, first.
    if (change.mVersion <= aCopy.mCompleteTo) {
      continue;
    }
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
}

std::optional<table_update> NewsFor(const table_copy& aCopy, store_version aKnown,
                                    bool aMaySendKeys)
{
  if (!aCopy.IsKnown() || aCopy.mLastChange <= aKnown) {
    return std::nullopt;
  }
  table_update news{ .mCompleteTo = aCopy.mCompleteTo, .mLastChange = aCopy.mLastChange };
  const bool knowsRemovals = aKnown >= aCopy.mHistoryFrom;
  const bool isDelta = aKnown.Value() > 0 && (knowsRemovals || aMaySendKeys);
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

bool Merge(table_copy& aCopy, const table_update& aUpdate)
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
    return Replace(aCopy, std::move(whole));
  }
  if (!aCopy.IsKnown() || aCopy.mCompleteTo < *aUpdate.mAfter) {
    return false;
  }
  Apply(aCopy, aUpdate.mChanges, aUpdate.mCompleteTo);
  if (aUpdate.mKeys) {
    RemoveOthers(aCopy, *aUpdate.mKeys);
  }
  aCopy.mLastChange = std::max(aCopy.mLastChange, aUpdate.mLastChange);
  return true;
}

} // namespace tamarackweir::replica
