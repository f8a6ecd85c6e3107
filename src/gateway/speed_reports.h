#pragma once

#include "gateway/state.h"
#include "placement/speed_board.h"

namespace tamarackweir::gateway {

/// This instance's own estimates of prefill times.
placement::speed_report OwnSpeeds(const gateway_state& aState);

/// Pools the reports that this instance has received with its own estimates.
void UsePooledSpeeds(gateway_state& aState, time_point aNow);

/// Takes over the estimates of another instance, or the pooled ones. Returns whether the sender
/// asks for the pooled ones, which are up to date then.
bool ApplySpeeds(gateway_state& aState, placement::speed_message aMessage, time_point aNow);

} // namespace tamarackweir::gateway
