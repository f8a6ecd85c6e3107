#pragma once

#include "gateway/call.h"

#include <optional>

namespace tamarackweir::gateway {

/// Whether the call's request may have no second run, as it is on trial (`quarantine::IsOnTrial`).
bool IsOnTrial(const gateway_state& aState, const call& aCall);

/// Returns at once for a call whose request is not on trial. Otherwise claims the trial, and
/// returns the refusal of the call if another run of the request is under way at any instance.
net::task<std::optional<refusal>> AwaitTrial(gateway_state& aState, call& aCall);

/// Ends the call's claim, if it has one: at once after an answer, else once its server would have
/// crashed.
void EndTrial(gateway_state& aState, call& aCall);

} // namespace tamarackweir::gateway
