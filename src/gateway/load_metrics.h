#pragma once

#include "gateway/state.h"

namespace tamarackweir::gateway {

/// Sets the metrics of the pooled prefill times, with their age and samples.
void SetSpeedMetrics(gateway_state& aState, time_point aNow);

/// Sets the metrics of the known load at the mean and the busiest server of each service.
void SetLoadMetrics(gateway_state& aState, time_point aNow);

} // namespace tamarackweir::gateway
