#pragma once

#include "replica/lost_rows.h"
#include "replica/store_version.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tamarackweir::replica {

/// A row as the store held it.
struct row
{
  std::string mValue; ///< bytes as written
  store_version mVersion;

  bool operator==(const row&) const = default;
};

/// A copy of one table of the store.
struct table_copy
{
  std::map<std::string, row> mRows; ///< by key
  store_version mCompleteTo;        ///< every change up to here is in; 0: nothing is known
  store_version mLastChange;        ///< at or above the last change of the table that is in

  std::map<std::string, store_version> mRemoved; ///< rows that are gone, since `mHistoryFrom`
  store_version mHistoryFrom; ///< what changed behind it can be told without the other rows

  superseded_rows mSuperseded;
  lost_rows mLost;                     ///< by the store, and in force until they are written again
  std::map<std::string, row> mInForce; ///< `mRows` with `mLost` over them; empty without any
  store_version mSnapshotReachesTo;    ///< of the snapshot that began the era, as this table shows

  /// Whether the table was ever read.
  bool IsKnown() const { return mCompleteTo.Value() > 0; }
};

/// The rows that decide: those of the store, and those that it has lost and that were not written
/// again since.
inline const std::map<std::string, row>& RowsInForce(const table_copy& aCopy)
{
  return aCopy.mLost.empty() ? aCopy.mRows : aCopy.mInForce;
}

/// A row that was written or removed.
struct row_change
{
  std::string mKey;
  std::optional<std::string> mValue; ///< absent: removed
  store_version mVersion;
};

/// News of a table from a peer.
struct table_update
{
  std::optional<store_version> mAfter; ///< the changes follow this version; absent: all rows
  std::vector<row_change> mChanges;
  /// The keys of all rows, if the sender does not know which were removed since `mAfter`.
  std::optional<std::set<std::string>> mKeys;
  lost_rows mLost;                        ///< that the peer did not name as known
  std::vector<std::string> mRemovedAgain; ///< lost rows of the peer that were written and removed
  store_version mCompleteTo;
  store_version mLastChange;
};

/// Removals that a copy remembers; about the servers that a large deployment replaces in a minute.
inline constexpr std::size_t kMaxRemoved = 500;

/// Replaces the copy by a newer one, from the store or a peer. Returns false, and changes nothing,
/// unless `aNewer` is complete to a higher version: a copy never goes back. If `aNewer` is of a
/// newer era, what the store has lost stays in force.
bool Replace(table_copy& aCopy, table_copy aNewer, missing_rows aMissing = missing_rows::Kept);

/// Applies changes that follow the copy in its era, up to `aCompleteTo`. A change that is not newer
/// than the row that it names is skipped.
void Apply(table_copy& aCopy, const std::vector<row_change>& aChanges, store_version aCompleteTo);

/// What a peer that knows the table up to `aKnown` lacks; nothing if the table has not changed
/// since. A copy that was read whole a moment ago knows each row's version, but not what was
/// removed before; it sends all keys then, which is far less than all rows. A peer of an older era
/// gets all rows. \param aMaySendKeys the peer understands them; else it gets all rows
/// \param aKnownLost keys of the lost rows that the peer knows
std::optional<table_update> NewsFor(const table_copy& aCopy, store_version aKnown,
                                    bool aMaySendKeys = true,
                                    const std::set<std::string>& aKnownLost = {});

/// Whether a peer that waits for news should get them at once. Lost rows alone can wait, as the
/// peer may refuse them again and again.
bool IsUrgent(const table_update& aUpdate);

/// Takes over a peer's news. Returns false, and changes nothing, if they are old or do not join on.
bool Merge(table_copy& aCopy, const table_update& aUpdate,
           missing_rows aMissing = missing_rows::Kept);

} // namespace tamarackweir::replica
