#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackweir::relay {

/// Cuts a stream of server-sent events into whole events without changing a byte, so that it can be
/// broken off, and resumed from another server, between two events.
struct raw_events
{
  std::size_t mMaxEventBytes = 1U << 20U;
  std::string mPending; ///< an event whose blank line has not arrived
};

/// Whole events, in their order.
struct whole_events
{
  std::string mBytes;
  std::size_t mCount = 0;
  std::optional<std::uint64_t> mLastId; ///< highest `id:` line
};

/// Adds bytes as they arrived and returns the events that they complete. Events whose id is at or
/// below `aAfter` are left out: the caller has them. Throws `error` of kind `InvalidInput` when an
/// event is longer than the limit.
whole_events Cut(raw_events& aState, std::string_view aBytes, std::optional<std::uint64_t> aAfter);

} // namespace tamarackweir::relay
