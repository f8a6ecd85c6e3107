#pragma once

#include "gateway/call.h"

namespace tamarackweir::gateway {

/// The shift of a service; null if there is none.
rollout::shift* ShiftOf(gateway_state& aState, const service_id& aService);

/// Chooses the server for an attempt, of the version that the shift assigns to the call. The other
/// version is used if that one has no server, unless it is known to be bad.
/// \param aDemand what the attempt needs; its condition on servers is set here
placement::choice ChooseServer(gateway_state& aState, call& aCall, placement::demand& aDemand,
                               const rollout::shift* aShift, time_point aNow);

} // namespace tamarackweir::gateway
