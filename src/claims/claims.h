#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "platform/table.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tamarackweir::claims {

/// Number of a call on this instance, assigned by `RequestClaim`.
using call_id = strong_type<struct claim_call_tag, std::uint64_t>;
/// Identity of one attempt to own a claim: instance, start epoch and call number. A replacement
/// with the same address has another start epoch and so never mistakes a predecessor's claim for
/// its own.
using claim_token = strong_type<struct claim_token_tag, std::string>;
/// Number of a table operation in flight on this instance.
using operation_id = strong_type<struct claim_operation_tag, std::uint64_t>;
/// Seconds since 1970 by the wall clock; used for retention only.
using wall_seconds = strong_type<struct wall_seconds_tag, std::int64_t>;

/// Limits and timeouts of the claims module.
struct options
{
  duration mWindow = 5ms;          ///< a group of claims is committed this long after its first one
  std::size_t mMaxRows = 50;       ///< claims or outcomes in one transaction
  std::size_t mMaxInFlight = 1;    ///< claim transactions in flight at once; groups grow meanwhile
  duration mOutcomeWindow = 1s;    ///< longer than `mWindow`, since no caller waits for outcomes
  duration mRetryDelay = 100ms;    ///< between attempts of a read-back or of an unanswered write
  duration mClaimTimeout = 2s;     ///< a claim undecided by then is answered `not_run`
  duration mAnswerTimeout = 1s;    ///< an unanswered table operation then counts as lost
  std::size_t mMaxUnstored = 5000; ///< pending outcomes and releases at which claims are refused
  std::size_t mMaxOutcomeBytes = 65536;             ///< a longer outcome is stored without its body
  duration mRetention = std::chrono::hours(168);    ///< rows are removed after this
  duration mSweepLookBack = std::chrono::hours(24); ///< a new instance also sweeps this far back
  duration mSweepInterval = 5s;                     ///< between two sweep steps of one instance
  duration mMaxWriteDelay = 30s;                    ///< longest time a write may still take effect
  /// Tests switch these off to show the failures that they prevent.
  bool mClaimBeforeDispatch = true;
  bool mReadBack = true;
};

/// A call that may not be repeated.
struct call
{
  account_id mAccount;
  std::string mKey;    ///< the caller's idempotency key
  std::string mDigest; ///< SHA-256 of the service, the call's name and the body
  time_point mDeadline{};
};

/// The response to a call.
struct outcome
{
  int mStatus = 0;
  std::string mBody;
  bool mBodyOmitted = false; ///< the body was longer than `mMaxOutcomeBytes` and is not stored

  bool operator==(const outcome&) const = default;
};

/// The result of `RequestClaim` for a call.
enum class claim_result
{
  Proceed,      ///< the claim is committed: call `BeginDispatch`, then send
  Stored,       ///< the call ran before: return `mOutcome`
  Unknown,      ///< another attempt holds the claim and its outcome is not known: retry later
  KeyReused,    ///< 422: the key was used with another body
  KeyMissing,   ///< the call has no key
  NotRun,       ///< the claim could not be made; no byte was sent
  TooManyCalls, ///< too many outcomes are not stored yet; no byte was sent
};

/// The lower-case name of a claim result.
const char* ToString(claim_result aResult);

/// The cause and what the caller can do, for the `detail` of a problem document.
std::string Detail(claim_result aResult);

/// True if a call with this result was certainly not run for this attempt, so that the caller may
/// send it again with the same key.
bool IsNotRun(claim_result aResult);

/// The decision about one call.
struct decision
{
  call_id mCall;
  claim_result mResult = claim_result::NotRun;
  std::optional<outcome> mOutcome;
};

/// A transaction to execute; report its result with `OnCommit`.
struct commit_action
{
  operation_id mOperation;
  platform::transaction mTransaction;
};

/// A read to execute; report its result with `OnRead`.
struct read_action
{
  operation_id mOperation;
  platform::read_request mRequest;
};

/// What the caller must do after an event.
struct actions
{
  std::vector<commit_action> mCommits;
  std::vector<read_action> mReads;
  std::vector<decision> mDecisions;
};

namespace internal {

enum class phase
{
  Queued,     ///< waits to be added to a group
  Committing, ///< in a transaction that is not answered yet
  ReadBack,   ///< the commit's answer was lost; the row must be read
  Owned,      ///< the claim is committed, no byte was sent
  Dispatched, ///< bytes may have been sent
};

struct open_call
{
  call mCall;
  claim_token mToken;
  phase mPhase = phase::Queued;
  time_point mRequestedAt{};
  time_point mRetryAt{};
  bool mMayBeWritten = false; ///< an unanswered claim write may still take effect
  bool mReadBackInFlight = false;
};

struct stored_outcome
{
  call mCall;
  claim_token mToken;
  outcome mOutcome;
  time_point mDueAt{};     ///< a write starts by then, with all outcomes that are pending
  time_point mNotBefore{}; ///< earliest retry after a failed write
};

struct release
{
  std::string mKey;
  claim_token mToken;
  time_point mDueAt{};
  time_point mWatchUntil{}; ///< until then, a late claim write may create the row again
  bool mOperationInFlight = false;
};

enum class operation_kind
{
  Claim,
  ReadBack,
  Outcome,
  ReleaseRead,
  ReleaseWrite,
  SweepIndex,
  SweepRows,
  SweepRemove,
  Recover,
};

struct operation
{
  operation_kind mKind = operation_kind::Claim;
  std::vector<std::uint64_t> mItems; ///< call numbers, outcome numbers or release numbers
  time_point mStartedAt{};
  std::vector<platform::row> mGroup{}; ///< SweepRows, SweepRemove: the group that is removed
};

struct sweep
{
  std::int64_t mNextMinute = 0;
  time_point mDueAt{};
  bool mOperationInFlight = false;
};

} // namespace internal

/// Counters for metrics.
struct counters
{
  std::uint64_t mTransactions = 0; ///< claim transactions sent
  std::uint64_t mRows = 0;         ///< claim rows sent in them
  std::uint64_t mReadBacks = 0;
  std::uint64_t mRemoved = 0; ///< rows removed after retention
};

/// State of the claims module on one instance.
struct state
{
  options mOptions;
  instance_id mInstance;
  start_epoch mEpoch;
  time_point mStartedAt{};
  wall_seconds mWallAtStart;
  std::uint64_t mNextNumber = 1;
  std::map<std::uint64_t, internal::open_call> mCalls;
  std::set<std::uint64_t> mUndecidedCalls; ///< calls without a decision
  std::deque<std::uint64_t> mQueue;
  bool mFlushNow = false; ///< requeued calls don't wait for the window again
  std::map<std::uint64_t, internal::stored_outcome> mOutcomes;
  std::map<std::uint64_t, internal::release> mReleases;
  std::map<std::uint64_t, internal::operation> mOperations;
  std::size_t mClaimCommitsInFlight = 0;
  bool mOutcomeInFlight = false;
  time_point mNextStoreAt{}; ///< when outcomes and releases are checked next
  std::set<std::pair<std::string, std::string>>
    mGoneInstances; ///< instance and epoch, written as in tokens
  internal::sweep mSweep;
  counters mCounters;
};

/// The state of an instance that starts now. The wall clock is read only once, so that later clock
/// adjustments don't change the retention.
state Start(const options& aOptions, const instance_id& aInstance, start_epoch aEpoch,
            time_point aNow, wall_seconds aWallNow);

/// The table key of a claim. Account and key are escaped, so that no key can address another
/// account's claim.
std::string ClaimKey(const account_id& aAccount, const std::string& aKey);

/// Requests a claim; the decision is added to `aOut`, now or after a later event.
call_id RequestClaim(state& aState, const call& aCall, time_point aNow, actions& aOut);

/// Whether a call may be sent.
enum class dispatch
{
  Send,        ///< send it now, once
  NotRun,      ///< its deadline has passed and nothing was sent; the claim is released
  AlreadySent, ///< it was already sent, or it has ended
};

/// Must be called immediately before the first byte is sent, also after a pause of the process.
/// Returns `Send` at most once per call, unless `OnServerRefused` reports that nothing has run.
dispatch BeginDispatch(state& aState, call_id aCall, time_point aNow);

/// The backend server refused before it started: the call may be sent to another one.
void OnServerRefused(state& aState, call_id aCall);

/// The call was answered: stores its outcome, and repeats the write until it is confirmed.
void Finish(state& aState, call_id aCall, const outcome& aOutcome, time_point aNow);

/// The call certainly did not run: no byte was sent, or the backend server refused before it
/// started. Releases the claim, so that the caller's retry can run.
void FinishNotRun(state& aState, call_id aCall, time_point aNow);

/// The call was sent and its outcome is not known. The row stays `claimed`, which later attempts
/// treat as an unknown outcome.
void FinishUnknown(state& aState, call_id aCall);

/// Handles the result of a transaction of `actions::mCommits`. Results may come late, twice or
/// never.
void OnCommit(state& aState, operation_id aOperation, const platform::commit_result& aResult,
              time_point aNow, actions& aOut);

/// Handles the result of a read of `actions::mReads`.
void OnRead(state& aState, operation_id aOperation, const platform::read_result& aResult,
            time_point aNow, actions& aOut);

/// Does the periodic work: groups, retries, timeouts and retention. Must be called every
/// millisecond while `IsIdle` is false, else every second.
void Tick(state& aState, time_point aNow, actions& aOut);

/// True if no call, table operation, outcome or release is pending.
bool IsIdle(const state& aState);

/// Number of outcomes and releases that are not stored yet; a graceful shutdown waits for 0.
std::size_t CountUnstored(const state& aState);

/// Membership reports that an instance is gone. Claims that it still holds are marked `unknown`
/// when a caller requests them. They are never released, because the holder may only be paused; a
/// paused holder that finishes later overwrites the mark with its outcome.
void OnInstanceGone(state& aState, const instance_id& aInstance, start_epoch aEpoch);

} // namespace tamarackweir::claims
