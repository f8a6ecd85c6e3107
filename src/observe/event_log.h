#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace tamarackweir::observe {

/// Bounds of the event log.
struct event_log_options
{
  int mDescriptor = 1;                  ///< where lines go; standard output by default
  double mLinesPerSecond = 400;         ///< lines above this rate are dropped and counted
  double mBurstLines = 2000;            ///< lines that may come at once
  std::size_t mBufferBytes = 1U << 18U; ///< lines that wait for the descriptor; more are dropped
};

/// Sets the bounds and makes the descriptor non-blocking. Called once at start.
void OpenEventLog(const event_log_options& aOptions);

/// Writes what is waiting, as far as the descriptor takes it without blocking. Called by a timer.
///
/// If lines were dropped since the last call, a line "log_dropped" with their number is added.
void FlushEventLog(time_point aNow);

/// Lines dropped since the start.
std::uint64_t DroppedLines();

/// One line of the event log: a JSON object with "event" and the fields in their order.
class event_line
{
public:
  explicit event_line(const char* aEvent);

  event_line& Text(const char* aName, std::string_view aValue);
  event_line& Number(const char* aName, std::int64_t aValue);
  event_line& Real(const char* aName, double aValue);
  event_line& Flag(const char* aName, bool aValue);
  /// A duration in milliseconds.
  event_line& Millis(const char* aName, duration aValue);

  /// Hands the line to the log, which drops it when it is over its bounds.
  void Write();

private:
  void Name(const char* aName);

  std::string mText;
};

} // namespace tamarackweir::observe
