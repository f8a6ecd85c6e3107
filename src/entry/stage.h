#pragma once

#include "control/requests.h"
#include "entry/pipeline.h"

#include <string>
#include <vector>

namespace tamarackweir::entry {

/// One stage of a chat request: a model version that answers it.
struct stage_input
{
  const chat_input* mInput = nullptr;
  request_id mRequest;
  model_version mVersion;
  std::optional<cascade_id> mCascade;
  std::optional<model_version> mSession;
  owner_id mOwner;
  time_point mDeadline{};
  trace_context mTrace;
};

/// What a stage produced. The last event (with the finish reason) and `[DONE]` are held back for
/// the caller of `RunStage`.
struct stage_result
{
  std::optional<problem> mProblem; ///< why there is no whole answer
  bool mBegun = false;             ///< an event has gone to the caller
  bool mCallerGone = false;
  std::string mText; ///< content of the answer
  std::string mFinishReason;
  std::vector<std::string> mHeld; ///< data of events from the finish reason on, in order
  token_count mPromptTokens;
  token_count mAnswerTokens;
  duration mFirstToken{}; ///< of the last attempt that gave one, from its send
};

/// Receives the data of each event that is not held back; returns false if the caller has left.
using stage_event = std::function<bool(const std::string& aData)>;

/// Runs a stage with retries and resume on other servers of the same version.
stage_result RunStage(const runtime& aRuntime, const stage_input& aStage,
                      const stage_event& aOnEvent);

} // namespace tamarackweir::entry
