#pragma once

#include "entry/body_memory.h"
#include "entry/read_limits.h"
#include "observe/metrics.h"

#include <map>
#include <mutex>

namespace tamarackweir::entry {

/// Counts callers' requests that were refused while they arrived, and logs them: at most one line a
/// second for each reason, as a crowd would fill the log. Used by all threads.
class refusal_log
{
public:
  refusal_log(observe::metrics& aMetrics, body_memory& aMemory)
    : mMetrics(aMetrics)
    , mMemory(aMemory)
  {
  }

  /// \param aBytes that had arrived
  void Record(read_end aEnd, std::size_t aBytes);

private:
  struct logged
  {
    time_point mAt{}; ///< of the last line
    int mSince = 0;   ///< refusals since then
  };

  observe::metrics& mMetrics;
  body_memory& mMemory;
  std::mutex mMutex;
  std::map<read_end, logged> mLogged;
};

} // namespace tamarackweir::entry
