#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace tamarackweir::platform {

/// A row of the platform's table. Every committed write of a key raises its version by one; 0 means
/// absent.
struct row
{
  std::string mKey;
  std::uint64_t mVersion = 0;
  nlohmann::json mValue;
};

/// A condition of a transaction: the row has this version at the commit; 0 means that it is absent.
struct expectation
{
  std::string mKey;
  std::uint64_t mVersion = 0;
};

/// A value to store.
struct put
{
  std::string mKey;
  nlohmann::json mValue;
};

/// A conditional write of several rows: all of it commits, or none of it.
struct transaction
{
  std::vector<expectation> mExpect;
  std::vector<put> mPut;
  std::vector<std::string> mRemove;
};

/// What a writer knows after a transaction.
enum class commit_status
{
  Committed,   ///< all writes took effect
  Conflict,    ///< an expectation did not hold; nothing was written
  Unreachable, ///< no byte of the transaction left; nothing was written
  Unknown,     ///< the answer was lost or an error; the writes may have taken effect
};

/// The answer to a transaction; `mConflicts` holds the current rows whose expectations failed.
struct commit_result
{
  commit_status mStatus = commit_status::Unknown;
  std::vector<row> mConflicts;
};

/// What to read: single keys, and all rows whose keys start with `mPrefix` if it is not empty.
struct read_request
{
  std::vector<std::string> mKeys;
  std::string mPrefix;
};

/// The rows found, by key; absent rows are left out. `mReachable` is false if the table did not
/// answer.
struct read_result
{
  bool mReachable = false;
  std::vector<row> mRows;
};

/// Returns the row with `aKey`, or null if the result does not hold it.
inline const row* Find(const read_result& aResult, const std::string& aKey)
{
  for (const row& candidate : aResult.mRows) {
    if (candidate.mKey == aKey) {
      return &candidate;
    }
  }
  return nullptr;
}

} // namespace tamarackweir::platform
