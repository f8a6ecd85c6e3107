#pragma once

#include "backends/evidence.h"

#include <nlohmann/json_fwd.hpp>

namespace tamarackweir::backends {

/// Observations that were received, and how many were skipped because they are invalid, too old or
/// above the allowed number.
struct decoded_observations
{
  observations mSeen;
  std::size_t mSkipped = 0;
};

/// A flat list of nine numbers for each server; times are ages in ms, -1 for never.
nlohmann::json ToList(const observations& aSeen, time_point aNow);

/// Inverse of `ToList`, with at most `aMaxServers`. Invalid entries are skipped.
decoded_observations FromList(const nlohmann::json& aList, std::size_t aMaxServers,
                              time_point aNow);

/// Most bytes that one server takes in a MessagePack message.
inline constexpr std::size_t kMaxObservationBytes = 33;

} // namespace tamarackweir::backends
