#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackweir::relay {

/// One server-sent event. `mId` is absent if the event has no numeric `id:` line.
struct sse_event
{
  std::optional<std::uint64_t> mId;
  std::string mEvent; ///< the `event:` line; empty for a plain message
  std::string mData;  ///< the `data:` lines joined by newlines
};

/// State of an incremental decoder: the bytes that do not yet form an event.
struct sse_decoder
{
  std::size_t mMaxEventBytes = 1U << 20U; ///< a longer event makes the stream malformed
  std::string mPartialLine;               ///< a line without its line end
  sse_event mPartialEvent;
  bool mHasData = false;
};

/// Appends received bytes and returns the events that they complete. Never returns an event that
/// the end of the stream truncates. Throws `error` of kind `InvalidInput` above the size limit.
std::vector<sse_event> Decode(sse_decoder& aDecoder, std::string_view aBytes);

/// Returns the wire format of an event, including the terminating blank line.
std::string Encode(const sse_event& aEvent);

} // namespace tamarackweir::relay
