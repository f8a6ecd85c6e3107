#include "gateway/escalation.h"

#include "gateway/server_choice.h"
#include "gateway/work_check.h"
#include "observe/event_log.h"

#include <algorithm>
#include <utility>

namespace tamarackweir::gateway {

namespace {

double ToMs(duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

cascade::escalation_record& RecordOf(gateway_state& aState, const call& aCall,
                                     std::size_t aModelIndex)
{
  return aState
    .mEscalations[aCall.mRoute->mName + '/' + aCall.mRoute->mModels.at(aModelIndex).Value()];
}

/// Time that the call can spare for each run that its route allows.
double RunTimeMs(const call& aCall)
{
  return ToMs(aCall.mDeadline - aCall.mRequest->mArrived) / std::max(1, aCall.mRoute->mMaxAttempts);
}

/// Whether engine times and waits are measured, so that an escalation can be weighed.
bool IsMeasured(const gateway_state& aState, const call& aCall, std::size_t aModelIndex)
{
  const auto speed =
    aState.mEngineSpeeds.find({ aCall.mService, aCall.mRoute->mModels.at(aModelIndex) });
  const auto rate = aState.mGoingRates.find(aCall.mService);
  return speed != aState.mEngineSpeeds.end() && placement::IsKnown(speed->second) &&
         rate != aState.mGoingRates.end();
}

/// Engine time of a run on the call's model: the prompt's prefill where it would be sent, and the
/// run's part of the steps, in which an engine serves all its requests.
double EngineMs(gateway_state& aState, call& aCall, time_point aNow)
{
  placement::demand demand = DemandOf(aState, aCall);
  const placement::choice choice =
    ChooseServer(aState, aCall, demand, ShiftOf(aState, aCall.mService), aNow);
  if (choice.mServer == nullptr) {
    return 0;
  }
  const auto pace = aState.mPaces.find(PaceKeyOf(aCall));
  const double stepMs = pace == aState.mPaces.end() ? 0 : pace->second.mMs;
  const int requests = std::max(1, backends::RequestsAt(*choice.mServer, aNow));
  return choice.mPrefillMs + RecordOf(aState, aCall, 0).mEvents * stepMs / requests;
}

/// The run on the call's model, which `NextModel` has chosen for an answer of `aAnswered`.
cascade::escalation EscalationOf(gateway_state& aState, call& aCall,
                                 const doubted_answer& aAnswered, time_point aNow)
{
  const cascade::going_rate& rate = aState.mGoingRates[aCall.mService];
  const double ahead = RequestsPerServer(aState.mFleet, aCall.mService, aNow);
  const double usualMs = LatencyOf(aState, aCall).mMs;
  return { .mGain = cascade::ExpectedGain(RecordOf(aState, aCall, aAnswered.mModelIndex).mGains,
                                          aAnswered.mConfidence),
           .mEngineMs = EngineMs(aState, aCall, aNow),
           .mBeginsIn =
             std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(
               usualMs * cascade::QueueGrowth(rate, ahead))),
           .mTimeLeft = aCall.mDeadline - aNow,
           .mPressure = cascade::PressureOf(rate, ahead, aState.mOptions.mEngineTime, aNow),
           .mTieBreaker = std::uniform_real_distribution<double>()(aState.mRandom) };
}

const char* NameOf(cascade::escalation_verdict aVerdict)
{
  switch (aVerdict) {
    case cascade::escalation_verdict::Granted:
      return "granted";
    case cascade::escalation_verdict::HeldBack:
      return "held_back";
    case cascade::escalation_verdict::TooLate:
      return "too_late";
  }
  return "unknown";
}

void Report(gateway_state& aState, const call& aCall, const doubted_answer& aAnswered,
            const cascade::escalation& aRun, const char* aVerdict)
{
  const cascade::going_rate& rate = aState.mGoingRates[aCall.mService];
  const double goingRate = cascade::RateOf(rate);
  const observe::labels labels{ { "service", aCall.mService.Value() } };
  aState.mMetrics.Count("tamarackweir_escalation_decisions_total", { { "verdict", aVerdict } });
  aState.mMetrics.Set("tamarackweir_engine_time_rate", goingRate, labels);
  aState.mMetrics.Set("tamarackweir_engine_pressure", aRun.mPressure, labels);
  aState.mMetrics.Set("tamarackweir_escalations_held_share", rate.mHeldBack, labels);
  observe::event_line("escalation")
    .Text("request", aCall.mHeader.mAttempt)
    .Text("verdict", aVerdict)
    .Number("confidence", aAnswered.mConfidence)
    .Real("gain", aRun.mGain)
    .Real("engine_ms", aRun.mEngineMs)
    .Real("rate", goingRate)
    .Real("pressure", aRun.mPressure)
    .Real("held_share", rate.mHeldBack)
    .Millis("begins_in_ms", aRun.mBeginsIn)
    .Millis("left_ms", aRun.mTimeLeft)
    .Write();
}

} // namespace

double RequestsPerServer(const backends::fleet& aFleet, const service_id& aService, time_point aNow)
{
  int requests = 0;
  int servers = 0;
  for (const auto& server : backends::ServersOf(aFleet, aService)) {
    if (!server->mAnnounced.mIsLeaving && aNow >= server->mSuspectUntil &&
        backends::TakesRequests(*server, aNow)) {
      requests += backends::RequestsAt(*server, aNow);
      ++servers;
    }
  }
  return servers > 0 ? static_cast<double>(requests) / servers : 0;
}

void RecordRun(gateway_state& aState, call& aCall, const attempt_outcome& aOutcome, duration aTime)
{
  if (aOutcome.mResult != attempt_result::Success || aOutcome.mAttempt->IsNewVersion() ||
      !IsModelChosenHere(aCall)) {
    return;
  }
  const auto doubted = std::exchange(aCall.mDoubted, std::nullopt);
  if (doubted && aOutcome.mHeader.mConfidence) {
    cascade::RecordGain(RecordOf(aState, aCall, doubted->mModelIndex).mGains, doubted->mConfidence,
                        *aOutcome.mHeader.mConfidence);
  }
  // The own prefill is shortest on the smallest model, so its runs show the wait best.
  if (aCall.mModelIndex == 0) {
    const time_point now = net::Now();
    const double waitMs = cascade::WaitOf(RecordOf(aState, aCall, 0).mLeast, ToMs(aTime), now);
    cascade::RecordWait(aState.mGoingRates[aCall.mService], waitMs / RunTimeMs(aCall),
                        RequestsPerServer(aState.mFleet, aCall.mService, now), now);
  }
}

void RecordEvents(gateway_state& aState, const call& aCall, std::size_t aEvents)
{
  if (!IsModelChosenHere(aCall)) {
    return;
  }
  constexpr double kSmoothing = 0.1;
  double& events = RecordOf(aState, aCall, 0).mEvents;
  events += kSmoothing * (static_cast<double>(aEvents) - events);
}

bool Escalates(gateway_state& aState, call& aCall, const attempt_outcome& aOutcome)
{
  if (!IsModelChosenHere(aCall)) {
    return false;
  }
  const attempt_history history = HistoryOf(aState, aCall);
  const std::size_t largest = aCall.mRoute->mModels.size() - 1;
  const bool isMeasured = IsMeasured(aState, aCall, largest);
  const cascade::confidence_step step{
    .mModelIndex = aCall.mModelIndex,
    .mModelCount = aCall.mRoute->mModels.size(),
    .mConfidence = aOutcome.mHeader.mConfidence,
    .mLoad = isMeasured ? 0 : aState.mEngineLoads[aCall.mService].mBusyShare,
    .mMayRunAgain = history.mIsIdempotent && history.mRuns < history.mMaxRuns,
  };
  const auto next = cascade::NextModel(step, aState.mOptions.mConfidence);
  if (!next) {
    return false;
  }
  const doubted_answer answered{ .mModelIndex = aCall.mModelIndex,
                                 .mConfidence = *step.mConfidence };
  // Times and the budget's check are those of the larger model, which may run on any server.
  aCall.mModelIndex = *next;
  std::vector<server_id> tried = std::exchange(aCall.mTriedServers, {});
  const time_point now = net::Now();
  const cascade::escalation run = EscalationOf(aState, aCall, answered, now);
  auto verdict = isMeasured ? cascade::Judge(aState.mGoingRates[aCall.mService],
                                             RecordOf(aState, aCall, answered.mModelIndex), run,
                                             aState.mOptions.mEngineTime, now)
                            : cascade::escalation_verdict::Granted;
  if (verdict == cascade::escalation_verdict::Granted && !MayBeginInTime(aState, aCall, now)) {
    verdict = cascade::escalation_verdict::TooLate;
  }
  const bool isGranted = verdict == cascade::escalation_verdict::Granted;
  const bool runs = isGranted && ConsumeRetry(aState, aCall, attempt_result::Failure);
  Report(aState, aCall, answered, run, isGranted && !runs ? "no_budget" : NameOf(verdict));
  if (runs) {
    aCall.mDoubted = answered;
  } else {
    aCall.mModelIndex = answered.mModelIndex;
    aCall.mTriedServers = std::move(tried);
  }
  return runs;
}

} // namespace tamarackweir::gateway
