#pragma once

#include "gateway/call.h"
#include "quarantine/crash_board.h"

#include <string>
#include <utility>
#include <vector>

namespace tamarackweir::gateway {

/// Parts of the call's prompt that other requests may share: all but the last one.
std::vector<quarantine::cause_key> SharedParts(const call& aCall);

/// Fingerprint of the request: equal if the same caller sends the same target, body and prompt
/// again. Never 0.
quarantine::cause_key FingerprintOf(const call& aCall);

/// Whether the request as a whole is quarantined, whatever its prompt.
bool IsRequestQuarantined(const gateway_state& aState, const call& aCall);

/// Whether the call must not reach a server, because it or a part of its prompt crashes servers.
bool IsQuarantined(const gateway_state& aState, const call& aCall);

/// After the connection of an attempt broke: records a crash of its server, if the server no longer
/// accepts connections, and keeps the run as unanswered otherwise.
net::task<> CheckForCrash(gateway_state& aState, call& aCall, const attempt_outcome& aOutcome);

/// Records that the call got a complete answer, which clears it and the parts of its prompt.
void RecordWholeAnswer(gateway_state& aState, const call& aCall);

/// For the log: hexadecimal, separated by commas.
std::string ToHex(const std::vector<quarantine::cause_key>& aKeys);

/// Tells other instances at once what is known of crashes here.
void ShareCrashNews(const gateway_state& aState, crash_news aNews);

/// After the end of a run without an answer, for which its server may yet crash under it: it closes
/// abandoned runs as soon as it finds that they are, between two steps of its work.
inline constexpr duration kCrashFollowsWithin = 1s;

/// How a run ended without a whole answer.
enum class unanswered_end
{
  Broken,     ///< the connection broke, and the server's address accepts another one
  TimedOut,   ///< nothing came until the deadline
  Moved,      ///< the request went on at another server
  Withdrawn,  ///< closed here: it was quarantined, or the instance stops
  CallerLeft, ///< closed here
};

/// Keeps a run without an answer until it is known whether its server crashed under it. Does
/// nothing for an attempt that did not reach its server.
void KeepUnanswered(gateway_state& aState, const call& aCall, const attempt_outcome& aOutcome,
                    unanswered_end aEnd);

/// Records the crashes of servers that were found since under such runs.
void RecordFoundCrashes(gateway_state& aState, time_point aNow);

/// Logs and counts what crashes that other instances saw add to the evidence here.
void ReportEvidence(
  gateway_state& aState,
  const std::vector<std::pair<quarantine::cause_key, quarantine::crash_effect>>& aEvidence,
  const char* aSource);

/// Quarantines the part or request with most evidence against it, if that is enough.
void QuarantineWorstSuspect(gateway_state& aState, time_point aNow);

/// Logs new quarantines, and withdraws requests under them that wait at servers.
/// \param aSource for the log: "own" or "peer", the instance that decided
void OnQuarantined(gateway_state& aState, const std::vector<quarantine::cause_key>& aKeys,
                   const char* aSource);

/// Registers a call with the gateway's state while it is handled, so that it can be withdrawn.
class open_call
{
public:
  open_call(gateway_state& aState, call& aCall);
  ~open_call();
  open_call(const open_call&) = delete;
  open_call& operator=(const open_call&) = delete;

private:
  std::shared_ptr<std::set<call*>> mOpenCalls;
  call& mCall;
};

} // namespace tamarackweir::gateway
