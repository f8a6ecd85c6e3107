#include "net/loop.h"

#include "base/error.h"
#include "observe/event_log.h"

#include <charconv>
#include <ctime>

namespace tamarackweir::net {

namespace {

constexpr int kMaxFailures = 100; ///< in a row, each within the period after the one before
constexpr duration kFailurePeriod = 1s;

} // namespace

time_point Now()
{
  timespec value{};
  clock_gettime(CLOCK_BOOTTIME, &value);
  return time_point{ std::chrono::duration_cast<duration>(
    std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec)) };
}

task<> SleepFor(asio::any_io_executor aExecutor, duration aDelay)
{
  asio::steady_timer timer(aExecutor, aDelay);
  error_code ignoredCancel;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignoredCancel));
}

// NOLINTNEXTLINE(performance-unnecessary-value-param): co_spawn keeps it
void Spawn(asio::any_io_executor aExecutor, const char* aName, task<> aTask)
{
  asio::co_spawn(aExecutor, std::move(aTask), [aName](const std::exception_ptr& aFailure) {
    if (aFailure == nullptr) {
      return;
    }
    try {
      std::rethrow_exception(aFailure);
    } catch (const std::exception& failure) {
      observe::event_line("task_failed").Text("task", aName).Text("reason", failure.what()).Write();
    } catch (...) {
      observe::event_line("task_failed").Text("task", aName).Text("reason", "unknown").Write();
    }
  });
}

void Run(asio::io_context& aLoop)
{
  for (int failures = 1;; ++failures) {
    const time_point began = Now();
    std::string reason = "unknown";
    try {
      aLoop.run();
      return;
    } catch (const std::exception& failure) {
      reason = failure.what();
    } catch (...) { // NOLINT(bugprone-empty-catch): logged below
    }
    observe::event_line("callback_failed").Text("reason", reason).Write();
    if (Now() - began > kFailurePeriod) {
      failures = 1;
    }
    if (failures >= kMaxFailures) {
      throw error(error_kind::Unknown, "callbacks fail again and again: " + reason,
                  "look for 'callback_failed' in the log");
    }
  }
}

tcp::endpoint ParseEndpoint(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  std::uint16_t port = 0;
  error_code failure;
  asio::ip::address address;
  if (colon != std::string::npos) {
    address = asio::ip::make_address(aText.substr(0, colon), failure);
    const char* const begin = aText.data() + colon + 1;
    const char* const end = aText.data() + aText.size();
    const auto [last, status] = std::from_chars(begin, end, port);
    if (status != std::errc{} || last != end) {
      port = 0;
    }
  }
  if (failure || port == 0) {
    throw error(error_kind::InvalidInput, "'" + aText + "' is not an address",
                "write it as IP:PORT");
  }
  return { address, port };
}

} // namespace tamarackweir::net
