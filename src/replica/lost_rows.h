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

/// The last state of a key that the store no longer has after it came back from an older copy. It
/// stays in force until the key is written again, by whoever it belongs to.
struct lost_row
{
  std::optional<std::string> mValue; ///< absent: the key was removed
  store_version mVersion;            ///< of an earlier era
  store_version mCopied; ///< of the row that the copy has for the key; number 0: it has none

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

/// The changes of some seconds, which is the age of a copy, on a large deployment.
inline constexpr std::size_t kMaxSuperseded = 1000;

/// Whether a table keeps its lost rows. The entries of backend servers that are missing have a rule
/// of their own: they lapse.
enum class missing_rows
{
  Kept,
  Dropped,
};

/// Notes that a change took the place of a row.
void NoteSuperseded(superseded_rows& aRows, const std::string& aKey, const row& aRow);

/// What the store has lost of a table: the differences between the rows in force and `aRestored`,
/// read in a newer era, that only its copy explains. A row of the copy is known by a version and a
/// value that were superseded; any other difference was written in the new era. What is missing may
/// have been removed since, which `DropCopied` finds.
lost_rows FindLostRows(const table_copy& aKnown, const table_copy& aRestored,
                       missing_rows aMissing);

/// The highest version of a row that the store's copy has kept, by the rows that were known or
/// superseded.
store_version FindCopiedTo(const table_copy& aKnown, const table_copy& aRestored);

/// Drops the lost rows that the store's copy must have had, as any table shows that it has rows
/// written later; they were removed after the store came back. Returns whether there were any.
bool DropCopied(table_copy& aCopy, store_version aCopiedTo);

/// Drops the lost rows whose keys are not in the store, so that they count as removed. Returns
/// whether there were any.
bool DropLostMissing(table_copy& aCopy);

/// Drops the lost rows whose keys were written again: the table has another row for the key than
/// the copy had.
void DropWrittenAgain(table_copy& aCopy);

/// Drops the lost rows whose keys were removed, so that the rows of the copy are in force. Returns
/// whether there were any.
bool DropLostRemovals(table_copy& aCopy);

/// Takes over lost rows that a peer with a copy of the same era knows, and drops those whose keys
/// it saw written and removed again. Returns whether anything changed.
bool MergeLostRows(table_copy& aCopy, store_era aEra, const lost_rows& aLost,
                   const std::vector<std::string>& aRemovedAgain);

/// Brings the rows in force up to date with the table and what was lost of it.
void UpdateRowsInForce(table_copy& aCopy);

} // namespace tamarackweir::replica
