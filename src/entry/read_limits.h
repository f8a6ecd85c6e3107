#pragma once

#include "base/clock.h"

#include <cstddef>

namespace tamarackweir::entry {

/// Limits on what a caller's request may send and take outside of its body.
struct read_limits
{
  std::size_t mHeaderBytes = std::size_t{ 64 } << 10U; ///< request line and all header lines
  duration mHeaderTime = 30s;                          ///< from the first byte to the last
  /// In place of `mHeaderTime` while connections wait for a thread and none is free. A header fits
  /// into a few packets, which take less than a second also if one is lost.
  duration mCrowdedTime = 2s;
  /// A line in a body: the size of a chunk and its extension.
  std::size_t mLineBytes = std::size_t{ 8 } << 10U;
};

/// What has arrived of a request.
struct read_progress
{
  time_point mBegan{};          ///< since when the header, or its first byte, is awaited
  std::size_t mHeaderBytes = 0; ///< of the request line and the header
  std::size_t mHeaderLines = 0;
  std::size_t mLineBytes = 0; ///< of the line that is being read in the body
  bool mIsHeaderRead = false;
};

/// Why a request is not read on.
enum class read_end
{
  None, ///< it is read on
  HeaderTooLarge,
  HeaderTooSlow,
  LineTooLong,
  NoMemory,
  NotServed, ///< no route takes its path, or a body there
};

/// The reason in metrics and the log.
const char* ToString(read_end aEnd);

/// Counts one byte of a line, and says whether the request is read on.
read_end OnLineByte(read_progress& aProgress, char aByte, const read_limits& aLimits);

/// Whether the header is late. Once it is read, its time does not count.
/// \param aIsCrowded connections wait for a thread, and none is free
bool IsHeaderLate(const read_progress& aProgress, const read_limits& aLimits, bool aIsCrowded,
                  time_point aNow);

/// Memory that the header takes, as it arrived and in fields.
std::size_t HeaderMemory(const read_progress& aProgress);

} // namespace tamarackweir::entry
