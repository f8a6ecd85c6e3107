#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackweir::relay {

/// Splits a stream of server-sent events at event boundaries without changing a byte, so that the
/// stream can be interrupted between two events and resumed from another server.
struct sse_splitter
{
  std::size_t mMaxEventBytes = 1U << 20U;
  bool mNeedsIds = false;       ///< an event had an id, so each further one must have one
  std::string mIncompleteEvent; ///< bytes after the last blank line
};

/// Complete events in the order of arrival.
struct complete_events
{
  std::string mBytes;
  std::size_t mCount = 0;
  std::size_t mComments = 0;            ///< of these, the ones without a field
  std::optional<std::uint64_t> mLastId; ///< id of the last event that has one
  const char* mFault = nullptr;         ///< why the next event does not belong to the stream
};

/// Appends received bytes and returns the events that they complete. Skips events whose id is at or
/// below `aAfter` or the last one, because the caller already has them.
///
/// Stops at an event that has a line that is no field (HTML Living Standard, section 9.2.6), such
/// as the status line of another answer, or that has no id though earlier ones had. Throws `error`
/// of kind `InvalidInput` if an event exceeds the size limit.
complete_events ExtractCompleteEvents(sse_splitter& aSplitter, std::string_view aBytes,
                                      std::optional<std::uint64_t> aAfter);

} // namespace tamarackweir::relay
