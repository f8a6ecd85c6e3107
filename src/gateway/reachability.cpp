#include "backends/evidence.h"
#include "gateway/call.h"
#include "observe/event_log.h"

namespace tamarackweir::gateway {

namespace {

constexpr duration kAliveWithin = 300ms; ///< a server that sent data so recently is not probed

} // namespace

void RecordConnect(backends::backend_server& aServer, const net::error_code& aFailure)
{
  if (!aFailure || aFailure == net::asio::error::connection_refused ||
      aFailure == net::asio::error::connection_reset || aFailure == net::asio::error::timed_out ||
      aFailure == net::asio::error::host_unreachable) {
    backends::RecordConnect(aServer, !aFailure, net::Now());
    if (aFailure == net::asio::error::connection_refused) {
      aServer.mSeen.mRefusedAt = net::Now();
    }
  }
}

net::task<bool> IsReachable(backends::server_pointer aServer, net::asio::any_io_executor aExecutor)
{
  const time_point now = net::Now();
  if (now - aServer->mLastByte < kAliveWithin) {
    co_return true;
  }
  if (backends::IsSuspect(*aServer, now)) {
    co_return false;
  }
  co_return co_await AcceptsConnections(std::move(aServer), std::move(aExecutor));
}

net::task<bool> AcceptsConnections(backends::server_pointer aServer,
                                   net::asio::any_io_executor aExecutor)
{
  const auto probe = std::make_shared<net::exchange>(aExecutor);
  const auto failure =
    co_await probe->Connect(aServer->mAnnounced.mAddress, kConnectLimit, net::silence_limits{});
  probe->Close();
  RecordConnect(*aServer, failure);
  if (failure) {
    backends::RecordEnd(*aServer, backends::attempt_end::Unreachable, duration::zero(), net::Now());
    observe::event_line("server_unreachable")
      .Text("server", aServer->mAnnounced.mId.Value())
      .Text("reason", failure.message())
      .Write();
  }
  co_return !failure;
}

} // namespace tamarackweir::gateway
