#pragma once

#include "capacity/capacity.h"

namespace tamarackweir::capacity::internal {

/// Returns the server's state, adding it if the server is unknown.
server_state& FindOrAddServer(state& aState, const server_id& aServer);

/// Returns the key of the server's lease row.
std::string RowKey(const server_id& aServer);

/// Returns the holder name in lease rows. It includes the start epoch, so that a replacement
/// process has a different name.
std::string HolderName(const state& aState);

/// Marks the server as cold since `aNow`.
void MarkCold(server_state& aServer, time_point aNow);

/// Renews, releases, takes over or reads the lease row as due.
void TickLease(state& aState, const server_id& aServer, server_state& aServerState,
               actions& aActions, time_point aNow);

/// Updates the lease holder's count of uncredited requests from the last report.
void ApplyReportToLease(const state& aState, server_state& aServer, time_point aNow);

/// Removes credits whose request must have ended although no release arrived.
void ExpireCredits(const state& aState, server_state& aServer, time_point aNow);

} // namespace tamarackweir::capacity::internal
