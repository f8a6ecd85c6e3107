#include "entry/refusal_log.h"

#include "base/log.h"

#include <utility>

namespace tamarackweir::entry {

void refusal_log::Record(read_end aEnd, std::size_t aBytes)
{
  constexpr duration kLogPause = 1s;
  if (aEnd == read_end::NoMemory) {
    mMetrics.Count("tamarackweir_memory_refusals_total");
  } else {
    mMetrics.Count("tamarackweir_protocol_refusals_total", { { "reason", ToString(aEnd) } });
  }
  int count = 0;
  {
    const time_point now = net::Now();
    const std::lock_guard lock(mMutex);
    logged& last = mLogged[aEnd];
    ++last.mSince;
    if (last.mAt != time_point() && now - last.mAt < kLogPause) {
      return;
    }
    last.mAt = now;
    count = std::exchange(last.mSince, 0);
  }
  Log(log_level::Warning, "caller_refused",
      { { "reason", ToString(aEnd) },
        { "requests", count },
        { "bytes", aBytes },
        { "held", mMemory.Used() },
        { "limit", mMemory.mBudget->mLimit } });
}

} // namespace tamarackweir::entry
