#pragma once

#include "backends/fleet.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace tamarackweir::placement {

/// What instances have under way at one backend server.
struct server_load
{
  std::uint32_t mPrefillTokens = 0; ///< of prompts without a first event, for an ordinary model
  std::uint32_t mRequests = 0;

  bool operator==(const server_load&) const = default;
};

/// Loads by a hash of the server's id; servers without work are left out.
using load_report = std::unordered_map<std::uint64_t, server_load>;

/// A message about loads between instances.
struct load_message
{
  std::string mInstance;       ///< the sender
  bool mIsTotals = false;      ///< of all instances but the receiver; else the sender's own
  bool mAsksForTotals = false; ///< the receiver answers with the totals
  load_report mLoads;
};

/// The newest reports of other instances.
struct load_board
{
  struct entry
  {
    time_point mAt{};
    load_report mLoads;
  };
  std::unordered_map<std::string, entry> mReports;
};

/// Reports of instances that fell silent count no longer; five messages may be lost.
inline constexpr duration kLoadLifetime = 1s;

/// Adds the loads of `aLoads`, server by server.
void Add(load_report& aTo, const load_report& aLoads);

/// What this instance has under way.
load_report OwnLoads(const backends::fleet& aFleet);

/// Takes the report of another instance.
void RecordReport(load_board& aBoard, const std::string& aInstance, load_report aLoads,
                  time_point aNow);

/// The sums over all instances, apart from `aExcept`. Forgets reports that are too old.
load_report Totals(load_board& aBoard, const std::string& aExcept, time_point aNow);

/// Enters what others have under way into the fleet.
void ApplyTotals(backends::fleet& aFleet, const load_report& aTotals, time_point aNow);

/// MessagePack; at most 12 bytes a server.
std::string Encode(const load_message& aMessage);

/// Inverse of `Encode`. Throws `error` of kind `InvalidInput`.
load_message DecodeLoads(std::string_view aBytes);

} // namespace tamarackweir::placement
