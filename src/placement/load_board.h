#pragma once

#include "backends/evidence.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace tamarackweir::placement {

/// Load of one or more instances at one backend server.
struct server_load
{
  std::uint32_t mPrefillMs = 0; ///< expected time to prefill the prompts without a first event
  std::uint32_t mRequests = 0;

  bool operator==(const server_load&) const = default;
};

/// Loads by a hash of the server's id; servers without load are omitted.
using load_report = std::unordered_map<std::uint64_t, server_load>;

/// A load message between instances.
struct load_message
{
  std::string mInstance;  ///< the sender
  bool mIsTotals = false; ///< sums over all instances but the receiver; else the sender's own load
  bool mAsksForTotals = false; ///< requests a reply with the totals
  load_report mLoads;
  backends::observations mSeen; ///< of the sender, or pooled over all instances; newest first
  std::size_t mSkipped = 0;     ///< invalid entries that were left out on decoding
};

/// The latest reports of other instances, by instance.
struct load_board
{
  struct entry
  {
    time_point mAt{};
    load_report mLoads;
    backends::observations mSeen;
  };
  std::unordered_map<std::string, entry> mReports;
};

/// Age at which a report expires; five messages in a row may be lost.
inline constexpr duration kLoadLifetime = 1s;

/// Adds `aLoads` to `aTo`, server by server.
void Add(load_report& aTo, const load_report& aLoads);

/// This instance's own load at each server.
load_report OwnLoads(const backends::fleet& aFleet);

/// Stores the report of another instance in place of its previous one.
void RecordReport(load_board& aBoard, load_message aReport, time_point aNow);

/// The sums over all instances but `aExcept`. Removes expired reports.
load_report Totals(load_board& aBoard, const std::string& aExcept, time_point aNow);

/// What all instances together have seen of the servers, this instance's observations included.
backends::observations PooledObservations(const load_board& aBoard,
                                          const backends::observations& aOwn, time_point aNow);

/// Sets the load of other instances at each server of the fleet.
void ApplyTotals(backends::fleet& aFleet, const load_report& aTotals, time_point aNow);

/// Encodes as MessagePack. Leaves out the oldest observations above `kMaxMessageBytes`.
std::string Encode(const load_message& aMessage, time_point aNow);

/// Inverse of `Encode`. Invalid entries are skipped. Throws `error` of kind `InvalidInput`.
load_message DecodeLoads(std::string_view aBytes, time_point aNow);

inline constexpr std::size_t kMaxMessageBytes = 1U << 14U; ///< of a datagram

} // namespace tamarackweir::placement
