#pragma once

#include "gateway/call.h"

namespace tamarackweir::gateway {

/// The shift of a service; null if there is none.
rollout::shift* ShiftOf(gateway_state& aState, const service_id& aService);

/// Whether the gateway chooses the call's model, and not its caller.
bool IsModelChosenHere(const call& aCall);

/// The model that the call runs on.
model_id ModelOf(const call& aCall);

/// Key of the pace of the call's streams.
std::string PaceKeyOf(const call& aCall);

/// Prefill time of the call's model on the engines of its service.
placement::prefill_time PrefillTimeOf(const gateway_state& aState, const call& aCall);

/// What an attempt of the call needs of a server; cold servers are not used.
placement::demand DemandOf(gateway_state& aState, const call& aCall);

/// What the call would find at the best server that it has not tried; nothing if there is none.
std::optional<other_server> FindElsewhere(gateway_state& aState, call& aCall);

/// Why a call may not use a server, whatever the server's state.
enum class server_rule
{
  None,
  Evacuated, ///< its data centre is
  Region,    ///< the route's or the account's
  Version,   ///< the shift assigns another one, or it is too new without a shift
};

/// \param aSide in the shift; absent without a shift
server_rule RuleAgainst(const gateway_state& aState, const call& aCall,
                        const rollout::shift* aShift, std::optional<rollout::version_side> aSide,
                        const backends::backend_server& aServer, time_point aNow);

/// Sets the demand's condition on servers: the rules for the call, and the version that the shift
/// assigns to it.
void SetCondition(gateway_state& aState, call& aCall, placement::demand& aDemand,
                  const rollout::shift* aShift, time_point aNow);

/// Chooses the server for an attempt, of the version that the shift assigns to the call. The other
/// version is used if that one has no server, unless it is known to be bad.
/// \param aDemand what the attempt needs; its condition on servers is set here
placement::choice ChooseServer(gateway_state& aState, call& aCall, placement::demand& aDemand,
                               const rollout::shift* aShift, time_point aNow);

} // namespace tamarackweir::gateway
