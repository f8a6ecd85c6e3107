#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "platform/table.h"
#include "settings/tree.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

namespace tamarackweir::settings {

/// Drawn at random by whoever proposes a change; a retry uses the same one.
using change_id = strong_type<struct change_id_tag, std::string>;

/// Who proposes a change.
struct author
{
  owner_id mOwner{};
  operator_id mOperator{};
  /// Proposed by an instance for the owner (a halt or a step of a roll-out): it may change only
  /// the owner's roll-outs.
  bool mAutomatic = false;
};

/// A proposed revision.
struct change
{
  change_id mId{};
  revision mBase{}; ///< the revision that the author edited; 0 for the first
  nlohmann::json mTree;
  author mAuthor{};
};

/// How a proposal ended.
enum class acceptance_status
{
  Accepted,    ///< `mRevision` is the new revision
  Conflict,    ///< the head is no longer the base; nothing was written
  Refused,     ///< invalid or not the author's to change; nothing was written
  Unavailable, ///< the store can't be reached; nothing was written
  Unknown,     ///< the store took the write and no answer came; ask again with the same id
};

/// The lower-case name of a status.
const char* ToString(acceptance_status aStatus);

/// The end of a proposal. `mMessage` names the remedy; a conflict's names both revisions.
struct acceptance_outcome
{
  acceptance_status mStatus = acceptance_status::Unavailable;
  revision mRevision{}; ///< accepted: the new revision; conflict: the head
  std::string mMessage{};
};

/// What the shell does next, after a delay: read, commit, or return the outcome.
struct acceptance_action
{
  std::variant<platform::read_request, platform::transaction, acceptance_outcome> mDo{};
  duration mDelay{}; ///< above zero only after a lost answer
};

/// Bounds of one proposal.
struct acceptance_options
{
  /// Commits and resolving reads before the outcome is `Unknown`.
  std::uint32_t mMaxAttempts = 5;
  /// Pause before each resolving read, so that retries do not add to the load of a slow store.
  duration mRetryDelay = std::chrono::milliseconds(500);
  /// Trees kept in the table; a commit removes the one that falls out. Change rows stay.
  std::uint64_t mKeptRevisions = 1000;
  /// Switches the resolution by change row off, so that tests can show what it prevents.
  bool mResolveLostAnswers = true;
  /// Switches the compare-and-set off, so that tests can show what it prevents.
  bool mCompareAndSet = true;
};

/// A proposal on its way; start with `Propose`.
struct acceptance
{
  change mChange{};
  acceptance_options mOptions{};
  std::string mDigest{};                ///< of the tree; tells another change with a reused id
  platform::transaction mTransaction{}; ///< empty until the head was read
  std::uint32_t mAttempts = 0;
  /// A commit's answer was lost. Set it for a retry whose earlier proposal ended as `Unknown`, or
  /// whose end is not known, so that a table that can't be reached is not taken for "not written".
  bool mMayHaveWritten = false;
};

/// Starts a proposal: checks the tree, then reads the head, the change row and the base.
acceptance_action Propose(acceptance& aState);

/// Continues after the answer of a read.
acceptance_action OnRead(acceptance& aState, const platform::read_result& aResult);

/// Continues after the answer of a commit.
acceptance_action OnCommit(acceptance& aState, const platform::commit_result& aResult);

/// One entry of the history.
struct history_entry
{
  revision mRevision{};
  change_id mChange{};
  author mAuthor{};
  std::vector<std::string> mPaths{}; ///< what changed, at most `kMaxHistoryPaths`
};

/// Paths listed per history entry; a larger change ends with "...".
constexpr std::size_t kMaxHistoryPaths = 32;

/// What to read for the `aCount` revisions up to `aNewest`, newest first.
platform::read_request HistoryRequest(revision aNewest, std::size_t aCount);

/// The entries in the answer to `HistoryRequest`, newest first.
std::vector<history_entry> History(const platform::read_result& aResult);

/// Reads the revision from the head row or a change row. Throws `error` of kind `InvalidInput` for
/// a row that has none.
revision HeadRevision(const platform::row& aRow);

/// Table keys.
std::string HeadKey();
std::string RevisionKey(revision aRevision);
std::string ChangeKey(const change_id& aChange);
std::string HistoryKey(revision aRevision);

} // namespace tamarackweir::settings
