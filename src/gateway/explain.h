#pragma once

#include "gateway/server_choice.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace tamarackweir::gateway {

/// A request whose handling is explained. Its body is not known.
struct explain_question
{
  call_header mHeader; ///< as the request would have it
  std::string mMethod;
  std::string mTarget;
  std::vector<server_id> mTried; ///< servers that it has tried already
};

/// A server of the request's service.
struct server_explanation
{
  server_id mServer;
  data_centre_id mDataCentre;
  version_id mVersion;
  /// Why it is not used: "leaving", "evacuated", "region", "version", "canary" (others carry the
  /// new version's load), "closed" or "tried"; empty if it may be used.
  std::string mRuledOutBy;
  /// Why it is used only without an alternative: "lost", "suspect", "cold", "missing" or "full";
  /// empty if it is used like others.
  std::string mLastResort;
  int mRequests = 0;        ///< in flight, over all instances as far as known
  double mPrefillMs = 0;    ///< to prefill the prompts that wait there
  double mFailureShare = 0; ///< of recent attempts
};

/// Where a request would go now.
struct explanation
{
  /// The request can't be explained, or would never be served; then the rest is not set.
  std::string mError;
  int mStatus = 200;   ///< that the caller would get of the gateway itself; 200: it is sent
  std::string mReason; ///< of the refusal
  std::optional<duration> mRetryAfter;
  std::string mRoute;
  account_id mAccount; ///< empty: anonymous
  service_id mService;
  model_id mModel;
  bool mIsModelChosenHere = false;
  duration mTimeLeft{};
  std::string mSide; ///< "old" or "new" in a shift of the service; empty without one
  std::optional<server_explanation> mChosen;
  double mWaitMs = 0; ///< expected at the chosen server, without the own prefill
  double mPrefillMs = 0;
  std::int64_t mPrefillTokens = 0;
  placement::service_load mLoad; ///< of the servers that the request may use
  std::vector<server_explanation> mServers;
};

/// Decides as for a request that arrives now, and leaves the state as it was: no session is pinned,
/// no place at a cold server is taken, and the random numbers stay.
explanation Explain(gateway_state& aState, const explain_question& aQuestion, time_point aNow);

/// As JSON; holds no key.
nlohmann::json ToJson(const explanation& aExplanation);

/// The JSON of an explanation as text for a terminal. Throws `nlohmann::json::exception` if it is
/// none.
std::string ToText(const nlohmann::json& aExplanation);

} // namespace tamarackweir::gateway
