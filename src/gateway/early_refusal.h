#pragma once

#include "gateway/call.h"

namespace tamarackweir::gateway {

inline constexpr const char* kStopTitle = "this instance stops";
/// Retries reach other instances, which are not stopped at the same time.
inline constexpr duration kStopRetryAfter = 20ms;

/// The refusal of all requests while the configuration is not confirmed for longer than the
/// settings allow. \param aTimeLeft until the caller's deadline, if it states one \param aPoint
/// uniform in [0, 1)
std::optional<refusal> RefusalIfUnconfirmed(const gateway_state& aState,
                                            std::optional<duration> aTimeLeft, double aPoint,
                                            time_point aNow);

/// The refusal of a request that could outlive an instance that is stopping.
/// \param aTimeLeft until the call's deadline
std::optional<refusal> RefusalIfStopping(const gateway_state& aState, duration aTimeLeft,
                                         time_point aNow);

/// The refusal of a request that is quarantined, or a part of its prompt is.
std::optional<refusal> RefusalIfQuarantined(const gateway_state& aState, const call& aCall);

} // namespace tamarackweir::gateway
