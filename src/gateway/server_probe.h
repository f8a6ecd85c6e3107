#pragma once

#include "gateway/state.h"
#include "net/loop.h"

namespace tamarackweir::gateway {

/// Probes servers that accept no connections, as `backends::IsProbeDue` says, so that no request
/// has to find out whether they are back. Runs until the loop ends.
net::task<> ProbeServers(net::asio::io_context& aLoop, gateway_state& aState);

} // namespace tamarackweir::gateway
