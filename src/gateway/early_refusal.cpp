#include "gateway/early_refusal.h"

#include "gateway/crash_reports.h"

namespace tamarackweir::gateway {

std::optional<refusal> RefusalIfUnconfirmed(const gateway_state& aState,
                                            std::optional<duration> aTimeLeft, double aPoint,
                                            time_point aNow)
{
  const auto& limit = aState.mOptions.mBounds.mRefuseAfter;
  if (!limit || aNow - aState.mConfirmedAt <= *limit) {
    return std::nullopt;
  }
  return refusal{ .mTitle = "the configuration is not confirmed",
                  .mRetryAfter =
                    RetryAfterOutage(aNow - aState.mConfirmedAt - *limit, aTimeLeft, aPoint) };
}

std::optional<refusal> RefusalIfStopping(const gateway_state& aState, duration aTimeLeft,
                                         time_point aNow)
{
  if (!aState.mIsStopping || IsAcceptedWhileStopping(aTimeLeft, aState.mStopsAt - aNow)) {
    return std::nullopt;
  }
  return refusal{ .mTitle = kStopTitle, .mRetryAfter = kStopRetryAfter };
}

std::optional<refusal> RefusalIfQuarantined(const gateway_state& aState, const call& aCall)
{
  if (!IsQuarantined(aState, aCall)) {
    return std::nullopt;
  }
  // No Retry-After, because a retry would be refused as well.
  return refusal{ .mTitle = IsRequestQuarantined(aState, aCall)
                              ? "the request crashes backend servers"
                              : "a part of the prompt crashes backend servers" };
}

} // namespace tamarackweir::gateway
