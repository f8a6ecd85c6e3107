#pragma once

#include "rollout/shift.h"

#include <string>
#include <string_view>

namespace tamarackweir::rollout {

/// Results of one instance in one shift, as it tells its peers.
struct results_report
{
  service_id mService;
  std::uint64_t mOrder = 0;
  std::string mInstance; ///< id and start of the sender
  shift_results mResults;
};

/// The JSON text of a report.
std::string EncodeReport(const results_report& aReport);

/// Reads a report. Throws `error` of kind `InvalidInput`.
results_report DecodeReport(std::string_view aText);

} // namespace tamarackweir::rollout
