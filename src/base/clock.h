#pragma once

#include <chrono>
#include <cstdint>

namespace tamarackweir {

/// Resolution of all times and durations in decisions.
using duration = std::chrono::microseconds;

/// The clock of the runtime. It has no `now()`: decisions are told the time, so that tests can
/// pause it.
struct runtime_clock
{
  using rep = std::int64_t;
  using period = std::micro;
  using duration = tamarackweir::duration;
  using time_point = std::chrono::time_point<runtime_clock>;
  // NOLINTNEXTLINE(readability-identifier-naming): the name is required by <chrono>
  static constexpr bool is_steady = true;
};

/// A moment on the runtime's clock. Not comparable between processes.
using time_point = runtime_clock::time_point;

using namespace std::chrono_literals;

} // namespace tamarackweir
