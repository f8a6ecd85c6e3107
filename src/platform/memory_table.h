#pragma once

#include "platform/table.h"

#include <map>

namespace tamarackweir::platform {

/// The table service in memory: the stand-in for tests, and the store behind the stand-in program.
struct memory_table
{
  /// A fault that the next operations meet.
  enum class fault
  {
    None,
    Down,       ///< writes and reads do not arrive
    LoseAnswer, ///< writes take effect, their answers are lost; reads fail
  };

  std::map<std::string, row> mRows;
  fault mFault = fault::None;
  std::uint64_t mLastVersion = 0;
  std::uint64_t mWrites = 0; ///< transactions that arrived
  std::uint64_t mReads = 0;  ///< reads that arrived
};

/// Commits `aTransaction`, or reports the rows whose expectations fail.
commit_result Commit(memory_table& aTable, const transaction& aTransaction);

/// Reads keys and a prefix.
read_result Read(memory_table& aTable, const read_request& aRequest);

} // namespace tamarackweir::platform
