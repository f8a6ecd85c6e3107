#pragma once

#include "replica/store_version.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarackweir::replica {

struct row;
struct table_copy;

/// The last state of a key that the store has lost by restoring an older snapshot. It stays in
/// force until the owner of the key writes it again.
struct lost_row
{
  std::optional<std::string> mValue; ///< absent: the key was removed
  store_version mVersion;            ///< of an earlier era
  store_version mInSnapshot; ///< of the row that the snapshot has for the key; number 0: none

  bool operator==(const lost_row&) const = default;
};

/// Lost rows by key.
using lost_rows = std::map<std::string, lost_row>;

/// Identifies a row that a later change took the place of.
struct superseded_row
{
  std::string mKey;
  std::uint64_t mNumber = 0; ///< of its version, in any era
  std::uint64_t mHash = 0;   ///< of its value
};

/// The latest rows that were superseded, oldest first.
using superseded_rows = std::deque<superseded_row>;

/// The changes of some seconds, which is the age of a snapshot, on a large deployment.
inline constexpr std::size_t kMaxSuperseded = 1000;

/// What happens to known rows that a restored table does not have.
enum class missing_rows
{
  Kept,    ///< as lost
  Dropped, ///< the table has a rule of its own for rows that are missing
};

/// What a restored table shows of the snapshot that it comes from.
struct snapshot_findings
{
  lost_rows mLost;
  /// The snapshot has at least the changes up to here; of the era before.
  store_version mReachesTo;
};

/// Notes that a change took the place of a row.
void NoteSuperseded(superseded_rows& aRows, const std::string& aKey, const row& aRow);

/// Compares the known rows with a table that was read in a newer era. A row with the version and
/// value of a superseded one is from the snapshot, so what superseded it is lost; another
/// difference was written since. A missing row is lost unless the snapshot must have had it.
snapshot_findings CompareRestored(const table_copy& aKnown, const table_copy& aRestored,
                                  missing_rows aMissing);

/// Drops missing rows that the snapshot must have had, as any table shows that it reaches further:
/// they were removed since. Returns whether there were any.
bool DropRemovedSince(table_copy& aCopy, store_version aReachesTo);

/// Drops lost rows whose keys the store does not have. Returns whether there were any.
bool DropMissing(table_copy& aCopy);

/// Drops removals that the store has lost, so that the rows of the snapshot are in force. Returns
/// whether there were any.
bool DropLostRemovals(table_copy& aCopy);

/// Drops the lost rows whose keys were written since: the store's row is not the snapshot's.
void DropWrittenAgain(table_copy& aCopy);

/// Takes over lost rows that a peer with a copy of the same era knows, and drops those whose keys
/// it saw written and removed again. Returns whether anything changed.
bool MergeLostRows(table_copy& aCopy, store_era aEra, const lost_rows& aLost,
                   const std::vector<std::string>& aRemovedAgain);

/// Brings the rows in force up to date with the table and what was lost of it.
void UpdateRowsInForce(table_copy& aCopy);

} // namespace tamarackweir::replica
