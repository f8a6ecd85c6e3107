#include "relay/relay.h"

#include "base/error.h"

#include <nlohmann/json.hpp>

namespace tamarackweir::relay {

namespace {

void ClearReorderBuffer(state& aState)
{
  aState.mReorderBuffer.clear();
  aState.mReorderBytes = 0;
}

actions EndAnswer(state& aState)
{
  aState.mEnded = true;
  ClearReorderBuffer(aState);
  actions result;
  if (aState.mNextId > 0) {
    result.mNext = next_step::EndIncomplete;
  } else {
    result.mNext = aState.mMayHaveRun ? next_step::EndUnknown : next_step::EndNotRun;
  }
  return result;
}

actions FailAttempt(state& aState, break_reason aReason, time_point aNow)
{
  aState.mMayHaveRun = aState.mMayHaveRun || aReason != break_reason::Refused;
  const bool mayRunAgain = aState.mCall.mRepeatable || !aState.mMayHaveRun;
  const bool retries = mayRunAgain && aReason != break_reason::Deadline &&
                       aNow < aState.mCall.mDeadline &&
                       aState.mAttempt < aState.mOptions.mMaxAttempts;
  actions result;
  if (!retries) {
    result = EndAnswer(aState);
  } else if (aState.mNextId > 0) {
    result.mNext = next_step::Resume;
    result.mLastEventId = aState.mNextId - 1;
  } else {
    result.mNext = next_step::Restart;
  }
  // Buffered events belong to the failed attempt; the next server sends its own.
  ClearReorderBuffer(aState);
  aState.mBetweenAttempts = true;
  result.mReason = aReason;
  if (aReason != break_reason::Closed && aReason != break_reason::Refused) {
    result.mCancelAttempt = aState.mAttempt;
  }
  return result;
}

/// Delivers the event with the next id and the buffered events that directly follow it.
void Deliver(state& aState, std::string aData, actions& aActions, time_point aNow)
{
  for (;;) {
    ++aState.mNextId;
    if (aData == "[DONE]") {
      aActions.mNext = next_step::Finish;
      aState.mEnded = true;
      ClearReorderBuffer(aState);
      return;
    }
    aActions.mDeliver.push_back(std::move(aData));
    const auto buffered = aState.mReorderBuffer.find(aState.mNextId);
    if (buffered == aState.mReorderBuffer.end()) {
      aState.mGapStartedAt = aNow;
      return;
    }
    aData = std::move(buffered->second);
    aState.mReorderBytes -= aData.size();
    aState.mReorderBuffer.erase(buffered);
  }
}

} // namespace

int OnAttempt(state& aState, bool aServerResumes, time_point aNow)
{
  if (aState.mEnded) {
    throw error(error_kind::InvalidInput,
                "the answer to " + aState.mCall.mRequest.Value() + " has ended",
                "start no attempt after the answer has ended");
  }
  if (aState.mNextId > 0 && !aServerResumes) {
    throw error(error_kind::InvalidInput,
                "the server does not support resuming and the caller already has " +
                  std::to_string(aState.mNextId) + " events",
                "choose a server that supports Last-Event-ID, or call OnNoServer");
  }
  aState.mBetweenAttempts = false;
  aState.mLastEventAt = aNow;
  aState.mResumedFrom = aState.mNextId;
  return ++aState.mAttempt;
}

actions OnChunk(state& aState, const chunk& aChunk, time_point aNow)
{
  actions result;
  if (aState.mEnded || aState.mBetweenAttempts || aChunk.mAttempt != aState.mAttempt) {
    ++aState.mStaleEvents;
    return result;
  }
  aState.mMayHaveRun = true;
  aState.mLastEventAt = aNow;
  if (aChunk.mRequest != aState.mCall.mRequest) {
    return FailAttempt(aState, break_reason::ForeignRequest, aNow);
  }
  if (aChunk.mId == 0 && aState.mResumedFrom > 0) {
    return FailAttempt(aState, break_reason::ResumeIgnored, aNow);
  }
  if (aChunk.mId < aState.mNextId || aState.mReorderBuffer.contains(aChunk.mId)) {
    ++aState.mDuplicateEvents;
    return result;
  }
  if (aChunk.mId == aState.mNextId) {
    Deliver(aState, aChunk.mData, result, aNow);
    return result;
  }
  if (aState.mReorderBuffer.empty()) {
    aState.mGapStartedAt = aNow;
  }
  aState.mReorderBytes += aChunk.mData.size();
  aState.mReorderBuffer.emplace(aChunk.mId, aChunk.mData);
  if (aState.mReorderBytes > aState.mOptions.mMaxReorderBytes ||
      aState.mReorderBuffer.size() > aState.mOptions.mMaxReorderEvents) {
    return FailAttempt(aState, break_reason::Gap, aNow);
  }
  return result;
}

actions OnBreak(state& aState, int aAttempt, break_reason aReason, time_point aNow)
{
  if (aState.mEnded || aState.mBetweenAttempts || aAttempt != aState.mAttempt) {
    return {};
  }
  return FailAttempt(aState, aReason, aNow);
}

actions OnNoServer(state& aState)
{
  return aState.mEnded ? actions{} : EndAnswer(aState);
}

actions OnCallerGone(state& aState)
{
  actions result;
  if (!aState.mEnded) {
    if (aState.mAttempt > 0 && !aState.mBetweenAttempts) {
      aState.mMayHaveRun = true;
      result.mCancelAttempt = aState.mAttempt;
    }
    result.mNext = EndAnswer(aState).mNext;
  }
  return result;
}

actions OnTick(state& aState, time_point aNow)
{
  if (aState.mEnded) {
    return {};
  }
  if (aState.mAttempt == 0 || aState.mBetweenAttempts) {
    return aNow >= aState.mCall.mDeadline ? EndAnswer(aState) : actions{};
  }
  if (aNow >= aState.mCall.mDeadline) {
    return FailAttempt(aState, break_reason::Deadline, aNow);
  }
  if (!aState.mReorderBuffer.empty() &&
      aNow - aState.mGapStartedAt >= aState.mOptions.mGapTimeout) {
    return FailAttempt(aState, break_reason::Gap, aNow);
  }
  if (aNow - aState.mLastEventAt >= aState.mOptions.mIdleTimeout) {
    return FailAttempt(aState, break_reason::Idle, aNow);
  }
  return {};
}

std::string IncompleteEvent(const state& aState)
{
  const nlohmann::json problem{
    { "type", "about:blank" },
    { "title", "The answer is incomplete" },
    { "status", 502 },
    { "detail", "the stream was interrupted after event " +
                  (aState.mNextId > 0 ? std::to_string(aState.mNextId - 1) : "none") +
                  "; send the request again to get the complete answer" },
    { "outcome", "unknown" },
  };
  return problem.dump();
}

} // namespace tamarackweir::relay
