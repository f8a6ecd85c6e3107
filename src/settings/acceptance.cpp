#include "settings/acceptance.h"

#include "base/digest.h"
#include "base/error.h"
#include "settings/check.h"
#include "settings/diff.h"

#include <algorithm>

namespace tamarackweir::settings {

using nlohmann::json;

namespace {

constexpr const char* kRetryRemedy = "propose the same change again with the same change id";

std::string Text(revision aRevision)
{
  return std::to_string(aRevision.Value());
}

acceptance_action Finish(acceptance_status aStatus, revision aRevision, std::string aMessage)
{
  return { acceptance_outcome{ aStatus, aRevision, std::move(aMessage) } };
}

acceptance_action Conflict(const acceptance& aState, revision aHead)
{
  return Finish(acceptance_status::Conflict, aHead,
                "the change is based on revision " + Text(aState.mChange.mBase) +
                  " and the head is revision " + Text(aHead) +
                  "; compare the two and propose the change again on revision " + Text(aHead));
}

acceptance_action Unavailable()
{
  return Finish(acceptance_status::Unavailable, {},
                std::string("the table can't be reached and nothing was written; ") + kRetryRemedy);
}

/// The change row exists: the change was accepted before, unless the id was used for another one.
acceptance_action AlreadyAccepted(const acceptance& aState, const platform::row& aRow)
{
  const revision accepted = HeadRevision(aRow);
  if (aRow.mValue.value("digest", "") != aState.mDigest) {
    return Finish(acceptance_status::Refused, {},
                  "the change id '" + aState.mChange.mId.Value() +
                    "' belongs to another change, revision " + Text(accepted) +
                    "; draw a new change id");
  }
  return Finish(acceptance_status::Accepted, accepted, "");
}

/// What decides about the change: the head, its own row and, until a transaction is built, the
/// base.
platform::read_request ReadRequest(const acceptance& aState)
{
  platform::read_request request{ { HeadKey(), ChangeKey(aState.mChange.mId) }, "" };
  if (aState.mTransaction.mPut.empty() && aState.mChange.mBase != revision(0)) {
    request.mKeys.push_back(RevisionKey(aState.mChange.mBase));
  }
  return request;
}

acceptance_action ReadAgain(acceptance& aState)
{
  if (++aState.mAttempts > aState.mOptions.mMaxAttempts) {
    return Finish(acceptance_status::Unknown, {},
                  std::string("the table's answer was lost and the change may be accepted; ") +
                    kRetryRemedy);
  }
  platform::read_request request = ReadRequest(aState);
  if (!aState.mOptions.mResolveLostAnswers) {
    request.mKeys = { HeadKey() };
  }
  return { request, aState.mOptions.mRetryDelay };
}

json HistoryValue(const acceptance& aState, const json& aBase)
{
  json paths = json::array();
  for (const difference& entry : Diff(aBase, aState.mChange.mTree)) {
    if (paths.size() == kMaxHistoryPaths) {
      paths.push_back("...");
      break;
    }
    paths.push_back(entry.mPath);
  }
  const author& by = aState.mChange.mAuthor;
  return { { "change_id", aState.mChange.mId.Value() },
           { "owner", by.mOwner.Value() },
           { "operator", by.mOperator.Value() },
           { "automatic", by.mAutomatic },
           { "paths", std::move(paths) } };
}

platform::transaction MakeTransaction(const acceptance& aState, std::uint64_t aHeadVersion,
                                      revision aHead, const json& aBase)
{
  const revision next(aHead.Value() + 1);
  const std::string& id = aState.mChange.mId.Value();
  platform::transaction result;
  if (aState.mOptions.mCompareAndSet) {
    result.mExpect.push_back({ HeadKey(), aHeadVersion });
  }
  if (aState.mOptions.mResolveLostAnswers) {
    result.mExpect.push_back({ ChangeKey(aState.mChange.mId), 0 });
  }
  result.mPut = { { RevisionKey(next), aState.mChange.mTree },
                  { HistoryKey(next), HistoryValue(aState, aBase) },
                  { ChangeKey(aState.mChange.mId),
                    { { "revision", next.Value() }, { "digest", aState.mDigest } } },
                  { HeadKey(), { { "revision", next.Value() }, { "change_id", id } } } };
  if (next.Value() > aState.mOptions.mKeptRevisions) {
    result.mRemove.push_back(RevisionKey(revision(next.Value() - aState.mOptions.mKeptRevisions)));
  }
  return result;
}

/// Continues after a lost answer.
///
/// An absent change row does not prove that the write failed: it may still arrive. The same
/// transaction is sent again; both expect the same head and no change row, so at most one commits.
acceptance_action Resolve(acceptance& aState, const platform::row* aHead)
{
  const std::uint64_t version = aHead == nullptr ? 0 : aHead->mVersion;
  const revision head = aHead == nullptr ? revision(0) : HeadRevision(*aHead);
  if (!aState.mOptions.mResolveLostAnswers) {
    aState.mTransaction = MakeTransaction(aState, version, head, nullptr);
    return { aState.mTransaction };
  }
  // A row's version never returns, so a write that expects another one can't commit any more.
  if (aState.mOptions.mCompareAndSet && version != aState.mTransaction.mExpect.front().mVersion) {
    return Conflict(aState, head);
  }
  return { aState.mTransaction };
}

/// Checks the base and the author against the head that was read, and builds the transaction.
acceptance_action Build(acceptance& aState, const platform::row* aHead, const platform::row* aBase)
{
  const revision head = aHead == nullptr ? revision(0) : HeadRevision(*aHead);
  if (head != aState.mChange.mBase) {
    return Conflict(aState, head);
  }
  if (aBase == nullptr && head != revision(0)) {
    return Finish(acceptance_status::Refused, head,
                  "the table has no row '" + RevisionKey(head) +
                    "' for its head; restore the row from an instance's copy");
  }
  const json base = aBase == nullptr ? json() : aBase->mValue;
  if (const auto problems = Authorise(base, aState.mChange.mTree, aState.mChange.mAuthor);
      !problems.empty()) {
    return Finish(acceptance_status::Refused, head, ToString(problems));
  }
  aState.mTransaction = MakeTransaction(aState, aHead == nullptr ? 0 : aHead->mVersion, head, base);
  return { aState.mTransaction };
}

} // namespace

const char* ToString(acceptance_status aStatus)
{
  switch (aStatus) {
    case acceptance_status::Accepted:
      return "accepted";
    case acceptance_status::Conflict:
      return "conflict";
    case acceptance_status::Refused:
      return "refused";
    case acceptance_status::Unavailable:
      return "unavailable";
    case acceptance_status::Unknown:
      return "unknown";
  }
  return "unknown";
}

acceptance_action Propose(acceptance& aState)
{
  const change& proposed = aState.mChange;
  constexpr std::size_t kMaxIdBytes = 64;
  if (proposed.mId.Value().empty() || proposed.mId.Value().size() > kMaxIdBytes) {
    return Finish(acceptance_status::Refused, {},
                  "the change id has " + std::to_string(proposed.mId.Value().size()) +
                    " bytes; draw a random one of 1 to 64 bytes");
  }
  const std::string text = proposed.mTree.dump();
  if (text.size() > kMaxTextBytes) {
    return Finish(acceptance_status::Refused, {},
                  "the settings have " + std::to_string(text.size()) + " bytes, the limit is " +
                    std::to_string(kMaxTextBytes) + "; remove what is unused");
  }
  if (const auto checked = CheckJson(proposed.mTree, "change"); !checked.IsAccepted()) {
    return Finish(acceptance_status::Refused, {}, ToString(checked.mProblems));
  }
  aState.mDigest = Sha256Hex(Text(proposed.mBase) + " " + text);
  return { ReadRequest(aState) };
}

acceptance_action OnRead(acceptance& aState, const platform::read_result& aResult)
{
  if (!aResult.mReachable) {
    return aState.mMayHaveWritten ? ReadAgain(aState) : Unavailable();
  }
  if (const auto* row = Find(aResult, ChangeKey(aState.mChange.mId))) {
    return AlreadyAccepted(aState, *row);
  }
  const platform::row* head = Find(aResult, HeadKey());
  return aState.mTransaction.mPut.empty()
           ? Build(aState, head, Find(aResult, RevisionKey(aState.mChange.mBase)))
           : Resolve(aState, head);
}

acceptance_action OnCommit(acceptance& aState, const platform::commit_result& aResult)
{
  switch (aResult.mStatus) {
    case platform::commit_status::Committed:
      return Finish(acceptance_status::Accepted,
                    HeadRevision({ "", 0, aState.mTransaction.mPut.back().mValue }), "");
    case platform::commit_status::Conflict:
      break;
    case platform::commit_status::Unreachable:
      return aState.mMayHaveWritten ? ReadAgain(aState) : Unavailable();
    case platform::commit_status::Unknown:
      aState.mMayHaveWritten = true;
      return ReadAgain(aState);
  }
  const auto find = [&](const std::string& aKey) -> const platform::row* {
    const auto found = std::find_if(aResult.mConflicts.begin(), aResult.mConflicts.end(),
                                    [&](const platform::row& aRow) { return aRow.mKey == aKey; });
    return found == aResult.mConflicts.end() ? nullptr : &*found;
  };
  if (const auto* row = find(ChangeKey(aState.mChange.mId)); row != nullptr && row->mVersion != 0) {
    return AlreadyAccepted(aState, *row);
  }
  const platform::row* head = find(HeadKey());
  return Conflict(aState,
                  head == nullptr || head->mVersion == 0 ? revision(0) : HeadRevision(*head));
}

platform::read_request HistoryRequest(revision aNewest, std::size_t aCount)
{
  platform::read_request request;
  for (std::uint64_t i = aNewest.Value(); i > 0 && request.mKeys.size() < aCount; --i) {
    request.mKeys.push_back(HistoryKey(revision(i)));
  }
  return request;
}

std::vector<history_entry> History(const platform::read_result& aResult)
{
  const std::string prefix = HistoryKey(revision(0));
  const std::size_t prefixBytes = prefix.rfind('/') + 1;
  std::vector<history_entry> entries;
  for (const auto& [key, version, value] : aResult.mRows) {
    if (!key.starts_with(prefix.substr(0, prefixBytes)) || !value.is_object()) {
      continue;
    }
    entries.push_back({ .mRevision = revision(std::stoull(key.substr(prefixBytes))),
                        .mChange = change_id(value.value("change_id", "")),
                        .mAuthor = { .mOwner = owner_id(value.value("owner", "")),
                                     .mOperator = operator_id(value.value("operator", "")),
                                     .mAutomatic = value.value("automatic", false) },
                        .mPaths = value.value("paths", std::vector<std::string>{}) });
  }
  std::sort(entries.begin(), entries.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mRevision > aRight.mRevision;
  });
  return entries;
}

revision HeadRevision(const platform::row& aRow)
{
  const auto found = aRow.mValue.is_object() ? aRow.mValue.find("revision") : aRow.mValue.end();
  if (!aRow.mValue.is_object() || found == aRow.mValue.end() || !found->is_number_unsigned()) {
    throw error(error_kind::InvalidInput, "the table row '" + aRow.mKey + "' has no revision",
                "restore the row from the highest settings/revision/<n>");
  }
  return revision(found->get<std::uint64_t>());
}

std::string HeadKey()
{
  return "settings/head";
}

std::string RevisionKey(revision aRevision)
{
  return "settings/revision/" + Text(aRevision);
}

std::string ChangeKey(const change_id& aChange)
{
  return "settings/change/" + aChange.Value();
}

std::string HistoryKey(revision aRevision)
{
  return "settings/history/" + Text(aRevision);
}

} // namespace tamarackweir::settings
