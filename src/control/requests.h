#pragma once

#include "balancing/balancing.h"
#include "base/problem.h"
#include "billing/record.h"
#include "capacity/capacity.h"
#include "cascade/cascade.h"
#include "claims/claims.h"
#include "overload/admission.h"
#include "quarantine/quarantine.h"
#include "sessions/session_token.h"
#include "settings/acceptance.h"
#include "settings/gate.h"
#include "settings/tree.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tamarackweir::control {

/// A chat request asks for its plan and for admission.
struct start
{
  request_id mRequest;
  account_id mAccount;
  std::string mModel;                ///< a model, "model@version" or a cascade
  std::string mKind;                 ///< kind of request, for cascade estimates
  std::string mSession;              ///< text of the session header, or empty
  std::optional<duration> mDeadline; ///< the caller's; the settings' deadline if shorter or absent
};

/// One model version that may answer, with its price.
struct planned_stage
{
  model_version mVersion;
  billing::price mPrice;
};

/// The plan of an admitted request.
struct started
{
  owner_id mOwner;
  settings::values mValues;
  time_point mDeadline{};
  std::vector<planned_stage> mStages; ///< cheapest first; one without a cascade
  std::optional<cascade_id> mCascade;
  cascade::plan mPlan;
  sessions::session mSession; ///< its version is set for a session that goes on
  bool mContinues = false;    ///< the caller sent a valid session
};

/// A request wants a backend server for one attempt.
struct choose
{
  request_id mRequest;
  account_id mAccount;
  model_version mVersion;
  std::optional<cascade_id> mCascade;
  std::optional<model_version> mSession; ///< version of the session that the request continues
  std::vector<std::uint64_t> mPrefixes;
  std::vector<server_id> mExclude;
  quarantine::fingerprint mFingerprint;
  time_point mDeadline{};
  bool mRetry = false;       ///< another attempt of the same request was made before
  bool mAfterNotRun = false; ///< the attempt before did not run
};

/// The server of an attempt.
struct chosen
{
  server_id mServer;
  std::string mAddress;
  data_centre_id mDataCentre;
  std::optional<capacity::credit_id> mCredit;
  bool mAlone = false; ///< a suspect's single re-run
};

/// Signs the token of a session that runs on this version from now on.
struct issue
{
  sessions::session mSession;
};

struct issued
{
  sessions::session_token mToken;
};

/// The attempt is about to be sent: the last check.
struct dispatch
{
  choose mChoice;
  chosen mChosen;
};

/// The attempt may be sent until `settings::SendDeadline(mCheckedAt)`.
struct dispatched
{
  time_point mCheckedAt{};
  revision mRevision;
};

/// The first token of an attempt arrived.
struct first_token
{
  server_id mServer;
  duration mTime{};
};

/// How an attempt ended.
enum class attempt_end
{
  Answered,
  Refused,   ///< the server refused before it began
  NotSent,   ///< no connection
  Rejected,  ///< an error status
  Crashed,   ///< the connection broke
  TimedOut,  ///< nothing arrived for too long, or the deadline passed; the server may still run it
  Cancelled, ///< the caller left
};

/// An attempt ended. A crash is answered only when the peers know of it.
struct finished
{
  request_id mRequest;
  chosen mChosen;
  time_point mDispatchedAt{};
  attempt_end mEnd = attempt_end::Answered;
  model_version mVersion;
  owner_id mOwner;
};

/// A cheap answer arrived: is it final? \see cascade::IsFinal
struct judge
{
  cascade::traffic_key mTraffic;
  std::vector<cascade::stage> mStages;
  cascade::plan mPlan;
  std::optional<double> mScore;
};

struct judged
{
  bool mIsFinal = true;
};

/// A rating arrived, for the cascade and for the roll-out.
struct rated
{
  cascade::traffic_key mTraffic;
  model_version mVersion;
  owner_id mOwner;
  std::optional<double> mScore; ///< nothing if the rating service gave none
  cascade::delivery mDelivery = cascade::delivery::None; ///< how the answer went to the caller
};

/// The answer is complete but for its last bytes: bill it and wait for the copy.
struct bill
{
  billing::usage mUsage;
};

/// The last bytes may go.
struct released
{
  bool mAtRisk = false;
};

/// The request has ended and gives its place to another.
struct complete
{
  request_id mRequest;
  overload::completion mCompletion;
};

/// Draws the id of a request without an idempotency key.
struct draw_id
{};

struct drawn_id
{
  request_id mRequest;
};

/// A call that may not be repeated asks for its claim.
struct claim
{
  claims::call mCall;
};

/// The last check before the first byte of a claimed call leaves.
struct begin_call
{
  claims::call_id mCall;
  account_id mAccount;
  settings::call_work mWork;
};

/// Whether the call may be sent, and until when; `mRefusal` says why not.
struct begun_call
{
  std::optional<std::string> mRefusal;
  time_point mCheckedAt{};
  int mStatus = 503; ///< HTTP status of the refusal
};

/// How a claimed call ended: with an outcome, certainly not run, or unknown.
struct finish_call
{
  claims::call_id mCall;
  std::optional<claims::outcome> mOutcome;
  bool mNotRun = false;
};

/// Whether a repeatable service call may be sent now.
struct check_call
{
  account_id mAccount;
  settings::call_work mWork;
};

/// An attempt that `check_call` allowed has ended and is billed. Until then the instance drains.
struct finish_repeatable
{};

/// An operator proposes a change of the settings.
struct propose
{
  settings::change mChange;
};

/// An operator reads the settings' history.
struct read_history
{
  std::size_t mCount = 20;
};

/// Which live instances have not confirmed a revision.
struct read_unconfirmed
{
  revision mRevision;
};

/// What the instance knows, for `status` and for metrics.
struct read_status
{};

/// A JSON answer to an operator.
struct report
{
  nlohmann::json mBody;
};

/// The instance begins to shut down; answered when everything is handed over.
struct drain
{};

/// An event without anything to tell.
struct done
{};

/// What a request thread or the operator API asks of the control actor.
using request_event =
  std::variant<start, choose, issue, dispatch, first_token, finished, judge, rated, bill, complete,
               draw_id, claim, begin_call, finish_call, check_call, finish_repeatable, propose,
               read_history, read_unconfirmed, read_status, drain>;

/// The answer; a `problem` refuses the request.
using request_reply =
  std::variant<done, problem, started, chosen, issued, dispatched, judged, released, drawn_id,
               claims::decision, begun_call, settings::acceptance_outcome, report>;

} // namespace tamarackweir::control
