#include "gateway/server_probe.h"

#include "backends/evidence.h"
#include "base/rendezvous.h"
#include "gateway/call.h"

namespace tamarackweir::gateway {

namespace {

constexpr duration kCheckInterval = 100ms;
/// Bounds the descriptors in use when many servers are lost and no aggregator answers.
constexpr int kMaxProbes = 16;

net::task<> Probe(gateway_state& aState, backends::server_pointer aServer,
                  net::asio::any_io_executor aExecutor)
{
  const bool isAccepted = co_await AcceptsConnections(aServer, std::move(aExecutor));
  backends::RecordProbe(*aServer, isAccepted, net::Now());
  aState.mMetrics.Count("tamarackweir_server_probes_total",
                        { { "result", isAccepted ? "accepted" : "failed" } });
}

/// Starts the probes that are due. Returns how many servers are lost.
std::size_t StartProbes(gateway_state& aState, const net::asio::any_io_executor& aExecutor)
{
  const time_point now = net::Now();
  std::size_t lost = 0;
  int started = 0;
  for (const auto& [id, server] : aState.mFleet.mServers) {
    if (!backends::IsSuspect(*server, now)) {
      continue;
    }
    lost += backends::IsLost(*server, now) ? 1 : 0;
    const std::size_t rank =
      InstancesBefore(aState.mInstances, "probe " + id.Value(), aState.mSelf.mId.Value());
    if (started < kMaxProbes && backends::IsProbeDue(*server, rank, now)) {
      ++started;
      server->mSeen.mIsProbing = true;
      net::Spawn(aExecutor, "server_probe", Probe(aState, server, aExecutor));
    }
  }
  return lost;
}

} // namespace

net::task<> ProbeServers(net::asio::io_context& aLoop, gateway_state& aState)
{
  while (true) {
    co_await net::SleepFor(aLoop.get_executor(), kCheckInterval);
    if (!aState.mIsStopping) {
      aState.mMetrics.Set("tamarackweir_servers_lost",
                          static_cast<double>(StartProbes(aState, aLoop.get_executor())));
    }
  }
}

} // namespace tamarackweir::gateway
