#include "platform/memory_table.h"

namespace tamarackweir::platform {

namespace {

std::uint64_t VersionOf(const memory_table& aTable, const std::string& aKey)
{
  const auto found = aTable.mRows.find(aKey);
  return found == aTable.mRows.end() ? 0 : found->second.mVersion;
}

} // namespace

commit_result Commit(memory_table& aTable, const transaction& aTransaction)
{
  if (aTable.mFault == memory_table::fault::Down) {
    return { commit_status::Unreachable, {} };
  }
  ++aTable.mWrites;
  commit_result result{ commit_status::Committed, {} };
  for (const auto& [key, version] : aTransaction.mExpect) {
    if (VersionOf(aTable, key) != version) {
      result.mStatus = commit_status::Conflict;
      const auto found = aTable.mRows.find(key);
      result.mConflicts.push_back(found == aTable.mRows.end() ? row{ key, 0, nullptr }
                                                              : found->second);
    }
  }
  if (result.mStatus == commit_status::Committed) {
    for (const auto& [key, value] : aTransaction.mPut) {
      aTable.mRows[key] = { key, ++aTable.mLastVersion, value };
    }
    for (const std::string& key : aTransaction.mRemove) {
      aTable.mRows.erase(key);
    }
  }
  if (aTable.mFault == memory_table::fault::LoseAnswer) {
    return { commit_status::Unknown, {} };
  }
  return result;
}

read_result Read(memory_table& aTable, const read_request& aRequest)
{
  if (aTable.mFault != memory_table::fault::None) {
    return {};
  }
  ++aTable.mReads;
  read_result result{ true, {} };
  for (const std::string& key : aRequest.mKeys) {
    if (const auto found = aTable.mRows.find(key); found != aTable.mRows.end()) {
      result.mRows.push_back(found->second);
    }
  }
  if (!aRequest.mPrefix.empty()) {
    for (auto it = aTable.mRows.lower_bound(aRequest.mPrefix);
         it != aTable.mRows.end() && it->first.starts_with(aRequest.mPrefix); ++it) {
      result.mRows.push_back(it->second);
    }
  }
  return result;
}

} // namespace tamarackweir::platform
