#include "net/bind_retry.h"

#include "observe/event_log.h"

namespace tamarackweir::net {

namespace {

constexpr duration kBindPause = 50ms;
constexpr int kAttemptsPerLine = 20; ///< of the log

} // namespace

bool MayBindLater(const error_code& aFailure)
{
  return aFailure == asio::error::address_in_use ||
         aFailure == boost::system::errc::address_not_available;
}

// NOLINTNEXTLINE(performance-unnecessary-value-param): the coroutine keeps them
task<> BindLater(asio::any_io_executor aExecutor, std::string aAddress,
                 std::function<error_code()> aBind)
{
  for (int attempts = 0;; ++attempts) {
    const error_code failure = aBind();
    if (failure == asio::error::operation_aborted) {
      co_return;
    }
    if (!failure) {
      observe::event_line("address_bound").Text("address", aAddress).Write();
      co_return;
    }
    if (attempts % kAttemptsPerLine == 0) {
      observe::event_line("address_not_bound")
        .Text("address", aAddress)
        .Text("reason", failure.message())
        .Write();
    }
    co_await SleepFor(aExecutor, kBindPause);
  }
}

std::string ToString(const tcp::endpoint& aAddress)
{
  return aAddress.address().to_string() + ":" + std::to_string(aAddress.port());
}

} // namespace tamarackweir::net
