#include "replica/table_copy.h"

#include <algorithm>

namespace tamarackweir::replica {

bool Replace(table_copy& aCopy, table_copy aNewer)
{
  if (aNewer.mCompleteTo <= aCopy.mCompleteTo) {
    return false;
  }
  store_version lastChange = std::max(aCopy.mLastChange, aNewer.mLastChange);
  for (const auto& [key, value] : aNewer.mRows) {
    lastChange = std::max(lastChange, value.mVersion);
  }
  if (std::any_of(aCopy.mRows.begin(), aCopy.mRows.end(),
                  [&aNewer](const auto& aRow) { return !aNewer.mRows.contains(aRow.first); })) {
    // A removal leaves no version behind; it lies somewhere up to the new copy's.
    lastChange = aNewer.mCompleteTo;
  }
  aCopy = std::move(aNewer);
  aCopy.mLastChange = lastChange;
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
    } else {
      aCopy.mRows.erase(change.mKey);
    }
  }
  aCopy.mCompleteTo = std::max(aCopy.mCompleteTo, aCompleteTo);
}

} // namespace tamarackweir::replica
