#pragma once

#include "settings/freshness.h"
#include "settings/tree.h"

#include <optional>
#include <string>
#include <variant>

namespace tamarackweir::settings {

/// Work on a model version.
struct version_work
{
  model_version mVersion{};
  /// The cascade that the caller named, if this is one of its stages.
  std::optional<cascade_id> mCascade{};
  /// The version of the session that the request belongs to.
  std::optional<model_version> mSession{};
};

/// A call of a plain service.
struct call_work
{
  service_id mService{};
  call_id mCall{};
};

/// One dispatch: who runs what, and in which data centre the backend server is.
struct dispatch
{
  account_id mAccount{};
  data_centre_id mDataCentre{};
  std::variant<version_work, call_work> mWork{};
};

/// Why a dispatch is refused.
enum class gate_refusal
{
  NotAllowed,    ///< the client account does not allow it
  Withdrawn,     ///< the version is withdrawn; this also ends its sessions
  Leaving,       ///< the version takes no new sessions
  DataCentreOut, ///< operators have taken the data centre out of service
  Unknown,       ///< the account, model, version, service, call or data centre does not exist
  Isolated,      ///< the settings can't be confirmed (`MayDispatch` only)
};

/// The snake_case name of a refusal, as problem documents and metrics show it.
const char* ToString(gate_refusal aRefusal);

/// The answer of the gate; `mDetail` names what was refused and the remedy, empty if allowed.
struct gate_answer
{
  std::optional<gate_refusal> mRefusal{};
  std::string mDetail{};

  bool IsAllowed() const { return !mRefusal.has_value(); }
};

/// Decides whether the tree lets the dispatch happen now. Every dispatch (first, retry, hedge,
/// escalation, queued) passes this function at the moment it is sent.
gate_answer MayRun(const tree& aTree, const dispatch& aDispatch);

/// `MayRun`, and the freshness rule: while isolated, only owners with `when_isolated:
/// serve_stable` are served, and only on versions that are active and in no roll-out.
gate_answer MayDispatch(const tree& aTree, const dispatch& aDispatch, verdict aVerdict);

/// The send deadline of a dispatch that passed the gate at `aCheckedAt`; the shell checks it again
/// immediately before it writes, because the process may have been paused since.
inline time_point SendDeadline(time_point aCheckedAt)
{
  return aCheckedAt + std::chrono::seconds(1);
}

/// Whether the dispatch may still be written; if not, pass the gate again.
inline bool MayStillSend(time_point aCheckedAt, time_point aNow)
{
  return aNow <= SendDeadline(aCheckedAt);
}

} // namespace tamarackweir::settings
