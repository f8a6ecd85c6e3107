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
  if (aCopy.IsKnown()) {
    aNewer.mHistoryFrom = aCopy.mHistoryFrom;
    aNewer.mRemoved = std::move(aCopy.mRemoved);
    std::erase_if(aNewer.mRemoved, [&aNewer](const auto& aRemoved) {
      return aNewer.mRows.contains(aRemoved.first);
    });
    for (const auto& [key, value] : aCopy.mRows) {
      if (!aNewer.mRows.contains(key)) {
        // A whole read does not tell when a row went; it was somewhere up to the new copy's
        // version.
        aNewer.mRemoved[key] = aNewer.mCompleteTo;
        aNewer.mLastChange = aNewer.mCompleteTo;
      }
    }
  } else {
    aNewer.mHistoryFrom = aNewer.mCompleteTo;
  }
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

std::optional<table_update> NewsFor(const table_copy& aCopy, store_version aKnown)
{
  if (!aCopy.IsKnown() || aCopy.mLastChange <= aKnown) {
    return std::nullopt;
  }
  table_update news{ .mCompleteTo = aCopy.mCompleteTo, .mLastChange = aCopy.mLastChange };
  const bool isDelta = aKnown.Value() > 0 && aKnown >= aCopy.mHistoryFrom;
  if (isDelta) {
    news.mAfter = aKnown;
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
  aCopy.mLastChange = std::max(aCopy.mLastChange, aUpdate.mLastChange);
  return true;
}

} // namespace tamarackweir::replica
