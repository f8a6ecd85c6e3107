#include "gateway/shift_results.h"

#include "gateway/server_choice.h"
#include "observe/event_log.h"

#include <algorithm>

namespace tamarackweir::gateway {

namespace {

constexpr std::uint64_t kMinSamples = 10; ///< of the usual time, to compare with it
constexpr double kMedian = 0.5;

/// Whether an answer took far longer than the estimated latency.
bool IsSlow(const latency_estimate& aLatency, duration aTime)
{
  constexpr double kSlowFactor = 4;
  constexpr duration kSlowAtLeast = 250ms;
  if (aLatency.mSamples < kMinSamples) {
    return false;
  }
  return std::chrono::duration<double, std::milli>(aTime - kSlowAtLeast).count() >
         aLatency.mMs * kSlowFactor;
}

/// Results of the old version are counted without their servers, which keeps reports short.
rollout::result_key KeyOf(const gateway_state& aState, const rollout::shift& aShift,
                          const call& aCall, const attempt& aAttempt)
{
  const bool isLoaded =
    aAttempt.IsNewVersion() &&
    rollout::IsSentUnderLoad(aShift, aState.mOptions.mShift, aAttempt.Started());
  return { .mIsNew = aAttempt.IsNewVersion(),
           .mRoute = aCall.mRoute->mName,
           .mServer = aAttempt.IsNewVersion() ? aAttempt.Server().mAnnounced.mId : server_id(),
           .mIsLoaded = isLoaded };
}

void HaltIfBad(gateway_state& aState, rollout::shift& aShift)
{
  if (rollout::IsNewVersionBad(aShift, aState.mOptions.mShift)) {
    HaltShift(aShift, aState.mSelf.mId);
  }
}

/// Judges an answer by its pace, while both versions serve under their usual load.
void JudgePace(gateway_state& aState, rollout::shift& aShift, const call& aCall,
               const attempt& aAttempt, const quantile_estimate& aUsual, duration aTime)
{
  if (aUsual.mSamples < kMinSamples ||
      !rollout::IsCanaryShare(aShift, aState.mOptions.mShift, net::Now())) {
    return;
  }
  const bool isSlow = IsOffPace(aUsual, aTime);
  rollout::RecordPace(aShift, KeyOf(aState, aShift, aCall, aAttempt), isSlow);
  if (isSlow && aAttempt.IsNewVersion()) {
    HaltIfBad(aState, aShift);
  }
}

/// Judges an answer and, if the old version made it, adds it to what is usual.
void RecordPace(gateway_state& aState, const std::string& aKey, const call& aCall,
                const attempt& aAttempt, duration aTime)
{
  quantile_estimate& usual = aState.mPaces[aKey];
  if (rollout::shift* const shift = ShiftOf(aState, aCall.mService); shift != nullptr) {
    JudgePace(aState, *shift, aCall, aAttempt, usual, aTime);
  }
  if (!aAttempt.IsNewVersion()) {
    RecordQuantile(usual, kMedian, aTime);
  }
}

} // namespace

bool IsOffPace(const quantile_estimate& aUsual, duration aTime)
{
  constexpr double kOffPaceFactor = 2;
  return std::chrono::duration<double, std::milli>(aTime).count() > aUsual.mMs * kOffPaceFactor;
}

void RecordShiftResult(gateway_state& aState, const call& aCall, const attempt_outcome& aOutcome,
                       duration aTime)
{
  const bool isSuccess = aOutcome.mResult == attempt_result::Success;
  const attempt& tried = *aOutcome.mAttempt;
  if (isSuccess && aCall.mRoute->mKind != routing::call_kind::Stream) {
    RecordPace(aState, aCall.mRoute->mName, aCall, tried, aTime);
  }
  rollout::shift* const shift = ShiftOf(aState, aCall.mService);
  if (shift == nullptr || !rollout::IsRunning(*shift) ||
      !(isSuccess || aOutcome.mResult == attempt_result::Failure ||
        aOutcome.mResult == attempt_result::TimedOut)) {
    return;
  }
  const bool isBad = !isSuccess || IsSlow(LatencyOf(aState, aCall), aTime);
  rollout::RecordResult(*shift, KeyOf(aState, *shift, aCall, tried), !isBad);
  if (tried.IsNewVersion()) {
    const time_point now = net::Now();
    rollout::RecordLoad(*shift, backends::RequestsAt(tried.Server(), now),
                        LoadsOf(aState.mFleet, *shift, now));
  }
  if (isBad && tried.IsNewVersion()) {
    HaltIfBad(aState, *shift);
  }
}

void RecordStreamPace(gateway_state& aState, const call& aCall, const attempt& aAttempt,
                      duration aPerEvent)
{
  RecordPace(aState, PaceKeyOf(aCall), aCall, aAttempt, aPerEvent);
}

rollout::server_loads LoadsOf(const backends::fleet& aFleet, const rollout::shift& aShift,
                              time_point aNow)
{
  struct version_load
  {
    int mRequests = 0;
    int mServers = 0;

    double PerServer(int aRequests) const
    {
      return static_cast<double>(aRequests) / std::max(1, mServers);
    }
  };
  version_load oldVersion;
  version_load newVersion;
  for (const auto& server : backends::ServersOf(aFleet, aShift.mOrder.mService)) {
    const bool isNew = server->mAnnounced.mVersion == aShift.mOrder.mNewVersion;
    version_load& load = isNew ? newVersion : oldVersion;
    load.mRequests += backends::RequestsAt(*server, aNow);
    ++load.mServers;
  }
  return { .mOld = oldVersion.PerServer(oldVersion.mRequests),
           .mFuture = newVersion.PerServer(oldVersion.mRequests + newVersion.mRequests),
           .mNewServers = static_cast<std::size_t>(newVersion.mServers) };
}

void HaltShift(rollout::shift& aShift, const instance_id& aBy)
{
  if (aShift.mIsHalted) {
    return;
  }
  aShift.mIsHalted = true;
  observe::event_line("shift_halted")
    .Text("service", aShift.mOrder.mService.Value())
    .Text("to", aShift.mOrder.mNewVersion.Value())
    .Text("by", aBy.Value())
    .Text("order", std::to_string(aShift.mOrder.mOrderId))
    .Write();
}

} // namespace tamarackweir::gateway
