#include "entry/read_limits.h"

namespace tamarackweir::entry {

namespace {

/// A field in the library's map: a node, two strings and the allocator's share.
constexpr std::size_t kFieldBytes = 160;

} // namespace

const char* ToString(read_end aEnd)
{
  switch (aEnd) {
    case read_end::None:
      return "none";
    case read_end::HeaderTooLarge:
      return "header_too_large";
    case read_end::HeaderTooSlow:
      return "header_too_slow";
    case read_end::LineTooLong:
      return "line_too_long";
    case read_end::NoMemory:
      return "memory";
    case read_end::NotServed:
      return "not_served";
  }
  return "unknown";
}

read_end OnLineByte(read_progress& aProgress, char aByte, const read_limits& aLimits)
{
  if (aProgress.mIsHeaderRead) {
    aProgress.mLineBytes = aByte == '\n' ? 0 : aProgress.mLineBytes + 1;
    return aProgress.mLineBytes > aLimits.mLineBytes ? read_end::LineTooLong : read_end::None;
  }
  ++aProgress.mHeaderBytes;
  aProgress.mHeaderLines += aByte == '\n' ? 1 : 0;
  return aProgress.mHeaderBytes > aLimits.mHeaderBytes ? read_end::HeaderTooLarge : read_end::None;
}

bool IsHeaderLate(const read_progress& aProgress, const read_limits& aLimits, bool aIsCrowded,
                  time_point aNow)
{
  const duration limit = aIsCrowded ? aLimits.mCrowdedTime : aLimits.mHeaderTime;
  return !aProgress.mIsHeaderRead && aNow - aProgress.mBegan >= limit;
}

std::size_t HeaderMemory(const read_progress& aProgress)
{
  return aProgress.mHeaderBytes + aProgress.mHeaderLines * kFieldBytes;
}

} // namespace tamarackweir::entry
