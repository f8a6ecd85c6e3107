#include "gateway/load_metrics.h"

#include <algorithm>

namespace tamarackweir::gateway {

void SetSpeedMetrics(gateway_state& aState, time_point aNow)
{
  for (const auto& [key, speed] : aState.mEngineSpeeds) {
    const observe::labels labels{ { "service", key.first.Value() },
                                  { "model", key.second.Value() } };
    const auto pooled =
      placement::PooledSpeed(aState.mSpeedBoard, placement::SpeedKey(key.first, key.second), aNow);
    const double age = std::chrono::duration<double>(aNow - aState.mSpeedBoard.mPooled.mAt).count();
    aState.mMetrics.Set("tamarackweir_pooled_prefill_ms_per_token",
                        pooled ? pooled->mTime.mMsPerToken : 0, labels);
    aState.mMetrics.Set("tamarackweir_pooled_prefill_samples", pooled ? pooled->mSamples : 0,
                        labels);
    aState.mMetrics.Set("tamarackweir_pooled_prefill_age_seconds", pooled ? age : 0, labels);
  }
}

void SetLoadMetrics(gateway_state& aState, time_point aNow)
{
  for (const auto& [service, servers] : aState.mFleet.mByService) {
    const std::string& name = service.Value();
    double requests = 0;
    double mostRequests = 0;
    double prefillMs = 0;
    double mostPrefillMs = 0;
    for (const backends::server_pointer& server : servers) {
      const double here = backends::RequestsAt(*server, aNow);
      const double hereMs = backends::PrefillMsAt(*server, aNow);
      requests += here;
      mostRequests = std::max(mostRequests, here);
      prefillMs += hereMs;
      mostPrefillMs = std::max(mostPrefillMs, hereMs);
    }
    const double count = std::max(1.0, static_cast<double>(servers.size()));
    const auto set = [&](const char* aName, const char* aServer, double aValue) {
      aState.mMetrics.Set(aName, aValue, { { "server", aServer }, { "service", name } });
    };
    set("tamarackweir_server_requests", "mean", requests / count);
    set("tamarackweir_server_requests", "busiest", mostRequests);
    set("tamarackweir_server_prefill_ms", "mean", prefillMs / count);
    set("tamarackweir_server_prefill_ms", "busiest", mostPrefillMs);
  }
}

} // namespace tamarackweir::gateway
