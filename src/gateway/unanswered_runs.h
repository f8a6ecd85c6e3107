#pragma once

#include "backends/fleet.h"
#include "quarantine/crash_board.h"

#include <string>
#include <vector>

namespace tamarackweir::gateway {

/// A run that ended here without a whole answer, while its server may still work on it.
struct unanswered_run
{
  quarantine::crash_record mCrash; ///< of its server, if there is one
  std::string mAttempt;            ///< for the log
  backends::server_pointer mServer;
  time_point mUntil{}; ///< until then its server may crash under it
};

struct unanswered_runs
{
  std::vector<unanswered_run> mRuns; ///< oldest first
};

inline constexpr std::size_t kMaxUnansweredRuns = 1024; ///< beyond it the oldest are dropped

/// How late a crash is found: the entry of a server that crashed lapses after several seconds, and
/// it is back later still.
inline constexpr duration kCrashFoundWithin = 10s;

/// Keeps a run until it is known whether its server crashed under it.
void Keep(unanswered_runs& aRuns, unanswered_run aRun);

/// Removes and returns the runs whose servers have ended, unless the end was announced. Forgets the
/// runs that their servers have outlived.
std::vector<unanswered_run> TakeCrashed(unanswered_runs& aRuns, time_point aNow);

} // namespace tamarackweir::gateway
