#pragma once

#include "rollout/shift.h"

#include <string>
#include <string_view>

namespace tamarackweir::rollout {

/// Results of one instance in one traffic shift, as it sends them to its peers.
struct results_report
{
  service_id mService;
  std::uint64_t mOrderId = 0;
  std::string mInstance; ///< id and start epoch of the sender
  shift_results mResults;
  load_counts mLoads{}; ///< all 0 from an earlier release
};

/// Encodes a report as JSON.
std::string EncodeReport(const results_report& aReport);

/// Decodes a report. Throws `error` of kind `InvalidInput` if it is malformed.
results_report DecodeReport(std::string_view aText);

} // namespace tamarackweir::rollout
