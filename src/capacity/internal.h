#pragma once

#include "capacity/capacity.h"

namespace tamarackweir::capacity::internal {

/// The server's state; a new one if the server is unknown.
server_state& FindOrAddServer(state& aState, const server_id& aServer);

/// Key of the lease row.
std::string RowKey(const server_id& aServer);

/// The name under which this process holds leases; a replacement has another one.
std::string HolderName(const state& aState);

/// Marks the server as cold from `aNow` on.
void MarkCold(server_state& aServer, time_point aNow);

/// Renews, takes over, gives back or reads the row, whatever is due.
void TickLease(state& aState, const server_id& aServer, server_state& aServerState,
               actions& aActions, time_point aNow);

/// Takes a report into the accounts of a lease holder.
void ApplyReportToLease(const state& aState, server_state& aServer, time_point aNow);

/// Drops credits whose request must have ended though no release arrived.
void ExpireCredits(const state& aState, server_state& aServer, time_point aNow);

} // namespace tamarackweir::capacity::internal
