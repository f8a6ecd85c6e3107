#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "platform/table.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace tamarackweir::capacity {

/// Tuning parameters of cold-start control.
struct options
{
  duration mLeaseDuration = 3s;
  /// Grants stop this long before the lease expires. A take-over waits this much longer than the
  /// lease duration.
  duration mLeaseMargin = 500ms;
  duration mRenewInterval = 1s;
  duration mReadInterval = 1s;        ///< how often a contender reads the row of the holder
  duration mCreditLifetime = 2s;      ///< from the credit request to the start
  duration mMaxRequestDuration = 30s; ///< upper bound of request deadlines
  duration mAskTimeout = 500ms;       ///< without an answer, the next candidate is asked
  /// Credit requests of all instances for one cold server. At 4 the holder exceeded 3 KB/s,
  /// including its gossip.
  double mAsksPerSecond = 2;
  duration mIdleReleaseTimeout = 10s; ///< a lease without credit requests is released
  std::int64_t mDefaultColdLimit = 1; ///< if neither the report nor the settings set one
  double mSlowFactor = 4;             ///< multiple of the server's recent median first-token time
  int mConsecutiveSlowLimit = 3;
  /// A new holder waits until a report includes all requests of earlier holders or they must have
  /// ended. Only tests disable this, to show that the wait is needed.
  bool mWaitAfterTakeOver = true;
  std::size_t mMedianSamples = 32; ///< recent first-token times kept per server
};

/// The fields of a backend server's `GET /load` that cold-start control uses.
struct load_report
{
  server_id mServer;
  start_epoch mEpoch;
  std::uint64_t mSequence = 0;
  std::int64_t mRunningRequests = 0;
  bool mCold = false;
  std::int64_t mColdLimit = 0; ///< 0 if the report sets none
  /// The earliest time, on this instance's clock, at which the server can have measured the load:
  /// when the fetch was sent, minus the age stated by a relayed report.
  time_point mMeasuredAt{};
};

/// Number of a credit, unique per requesting instance and start epoch.
using credit_number = strong_type<struct credit_number_tag, std::uint64_t>;

/// Identifies a credit by its requester and number.
struct credit_id
{
  instance_id mRequester;
  start_epoch mRequesterEpoch;
  credit_number mNumber;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 reports the compiler's comparison with 0
  auto operator<=>(const credit_id&) const = default;
};

/// Requests one credit from the lease holder, or from the instance that should become it.
struct credit_ask
{
  credit_id mId;
  server_id mServer;
  duration mMaxRun{}; ///< from the credit request to the latest end of the request
};

/// Answer to a `credit_ask`.
struct credit_answer
{
  credit_id mId;
  server_id mServer;
  bool mGranted = false;
  fencing_number mFencingNumber; ///< of the lease under which the credit was granted
  instance_id mHolder;           ///< where to send the next `credit_ask`; empty if unknown
  duration mRetryAfter{};        ///< mean delay until the next `credit_ask`
};

/// Tells the lease holder that a credit's request has ended or will not start. Resent until it is
/// acknowledged or the request must have ended.
struct credit_release
{
  credit_id mId;
  server_id mServer;
};

/// Acknowledges a `credit_release`.
struct credit_release_ack
{
  credit_id mId;
  server_id mServer;
};

/// A message and its recipient.
template<class Message>
struct outgoing
{
  instance_id mTo;
  Message mMessage;
};

/// A conditional write of the row `cold/<server>`; pass the result to `OnLeaseWritten`.
struct lease_write
{
  server_id mServer;
  platform::transaction mTransaction;
};

/// A credit that this instance may use now. The caller checks `TryUseCredit` immediately before it
/// sends the request.
struct usable_credit
{
  server_id mServer;
  credit_id mId;
};

/// Gossip message: `mServer` is cold, and `mHolder` issues its credits.
struct cold_announcement
{
  server_id mServer;
  start_epoch mServerEpoch;
  instance_id mHolder;
  fencing_number mFencingNumber;
};

/// Effects of an event that the caller must carry out.
struct actions
{
  std::vector<lease_write> mWrites;
  std::vector<std::string> mReadKeys; ///< read in one request; pass the result to `OnLeaseRowsRead`
  std::vector<outgoing<credit_ask>> mAsks;
  std::vector<outgoing<credit_answer>> mAnswers;
  std::vector<outgoing<credit_release>> mReleases;
  std::vector<outgoing<credit_release_ack>> mReleaseAcks;
  std::vector<usable_credit> mUsableCredits;
  std::vector<cold_announcement> mAnnouncements;
};

/// The row `cold/<server>` as last read or written. An empty holder means that the lease was
/// released; the row is kept so that the fencing number never decreases.
struct lease_row
{
  std::uint64_t mVersion = 0; ///< of the table row; 0 if the row is absent
  bool mVersionKnown = true;  ///< false after a write, whose result lacks the new version
  std::string mHolder;        ///< "<instance>#<start epoch>"
  fencing_number mFencingNumber;
  std::uint64_t mRenewal = 0;
  time_point mUnchangedSince{}; ///< when this holder, fencing number and renewal were first seen
};

/// A credit issued by this instance as lease holder.
struct issued_credit
{
  time_point mGrantedAt{};
  time_point mEndsBy{}; ///< when its request must have ended
};

/// A lease write without a known outcome.
struct pending_write
{
  lease_row mWanted;
  time_point mSentAt{};
  bool mNeedsReadBack = false; ///< no answer: read the row to learn the outcome
};

/// A lease that this instance holds.
struct held_lease
{
  fencing_number mFencingNumber;
  time_point mTakenAt{};   ///< when this instance learned that the take-over had committed
  time_point mRenewedAt{}; ///< when the last successful renewal was sent
  bool mMayGrant = false;  ///< requests of earlier holders are accounted for or have ended
  std::map<credit_id, issued_credit> mCredits;
  std::deque<time_point> mReleaseTimes; ///< releases since the last report was measured
  std::int64_t mUncreditedRequests = 0; ///< requests at the server without a credit in `mCredits`
  time_point mUncreditedEndBy{};        ///< when the uncredited requests must have ended
  std::deque<time_point> mAskTimes;     ///< peers' credit requests within the ask window
  time_point mLastAskAt{};
};

/// A credit of this instance, from the `credit_ask` to the release.
struct own_credit
{
  server_id mServer;
  instance_id mIssuer; ///< where the `credit_ask` was sent, later the granting holder
  time_point mAskedAt{};
  time_point mEndsBy{};
  bool mGranted = false;
  bool mStarted = false;
  bool mReleasing = false;
  bool mTimedOut = false; ///< not answered in time; another candidate may be asked
  time_point mNextReleaseAt{};
};

/// State of one backend server.
struct server_state
{
  bool mReported = false;
  bool mCold = true;          ///< a server without a report is cold
  bool mColdObserved = false; ///< cold by a report, refusal, announcement or slow first tokens
  time_point mColdSince{};
  load_report mReport;
  std::int64_t mSettingsColdLimit = 0;
  std::deque<duration> mFirstTokens;
  int mConsecutiveSlow = 0;
  std::optional<lease_row> mRow;
  time_point mRowReadAt{};
  bool mContending = false; ///< this instance tries to acquire the lease
  std::optional<pending_write> mPendingWrite;
  time_point mNextWriteAt{};
  std::optional<held_lease> mHeldLease;
  instance_id mHolder; ///< last known holder; empty if unknown
  fencing_number mHolderFencingNumber;
  std::size_t mCandidateRank = 0; ///< next lease candidate to ask while no holder is known
  time_point mNextAskAt{};
  time_point mLastWantedAt{};
};

/// The cold-start state of an instance.
struct state
{
  options mOptions;
  instance_id mSelf;
  start_epoch mEpoch;
  std::vector<instance_id> mLiveInstances; ///< may leave out this instance
  std::map<server_id, server_state> mServers;
  std::map<credit_id, own_credit> mOwnCredits;
  std::uint64_t mNextCreditNumber = 1;
};

/// Creates a state without servers.
state Start(const options& aOptions, const instance_id& aSelf, start_epoch aEpoch);

/// Sets the live instances, which are the lease candidates; this instance may be left out.
void OnLiveInstances(state& aState, std::vector<instance_id> aLive);

/// Sets the `cold_limit` of a server from the settings. A lower limit in a report applies.
void OnSettings(state& aState, const server_id& aServer, std::int64_t aColdLimit);

/// Removes the state of a server that is no longer in the instance list.
void OnServerGone(state& aState, const server_id& aServer);

/// Applies a load report, which may be late or out of order.
actions OnLoadReport(state& aState, const load_report& aReport, time_point aNow);

/// Marks the server as cold after it refused a request with 503 `not_run`.
actions OnServerRefusal(state& aState, const server_id& aServer, time_point aNow);

/// Records the first-token time of a response. By default, three consecutive times above four times
/// the median mark the server as cold.
actions OnFirstToken(state& aState, const server_id& aServer, duration aTime, time_point aNow);

/// Applies a cold announcement from another instance.
actions OnColdAnnouncement(state& aState, const cold_announcement& aAnnouncement, time_point aNow);

/// Returns whether requests to the server need a credit.
bool IsCold(const state& aState, const server_id& aServer);

/// Requests a credit for a request that could run on the cold server and can wait, unless the rate
/// limit on credit requests defers it. Returns the credit's id, or `std::nullopt` if no credit was
/// requested. The holder grants its own credits. `aMaxRun` is the time left until the deadline.
std::optional<credit_id> RequestCredit(state& aState, const server_id& aServer, duration aMaxRun,
                                       actions& aActions, time_point aNow,
                                       std::mt19937_64& aRandom);

/// Answers a peer's `credit_ask`. Without the lease, contends for it if the server is cold.
actions OnCreditAsk(state& aState, const credit_ask& aAsk, time_point aNow);

/// Applies an answer. A credit that arrives in time is returned in `mUsableCredits`; one that
/// arrives too late is released immediately.
actions OnCreditAnswer(state& aState, const credit_answer& aAnswer, time_point aNow,
                       std::mt19937_64& aRandom);

/// Returns whether a request may start with the credit now, and if so marks the credit as used.
/// Call this immediately before sending the request.
bool TryUseCredit(state& aState, const credit_id& aCredit, time_point aNow);

/// Releases a credit whose request has ended or that is not needed.
actions FinishCredit(state& aState, const credit_id& aCredit, time_point aNow);

/// Removes the credit that a peer releases and acknowledges the release.
actions OnCreditRelease(state& aState, const credit_release& aRelease, time_point aNow);

/// Stops resending a release that the holder acknowledged.
void OnCreditReleaseAck(state& aState, const credit_release_ack& aAck);

/// Applies the result of a `lease_write`.
actions OnLeaseWritten(state& aState, const server_id& aServer,
                       const platform::commit_result& aResult, time_point aNow);

/// Applies the result of reading the lease rows `aKeys`.
actions OnLeaseRowsRead(state& aState, const std::vector<std::string>& aKeys,
                        const platform::read_result& aResult, time_point aNow);

/// Renews, releases and takes over leases, reads rows, expires credits and resends releases. Call
/// about every 100 ms.
actions Tick(state& aState, time_point aNow);

/// Returns the instances in order of preference for holding the lease of `aServer` (rendezvous
/// hashing).
std::vector<instance_id> LeaseCandidates(const state& aState, const server_id& aServer);

/// Returns how many credits this instance can issue for the server now; 0 without a valid lease.
std::int64_t FreeCredits(const state& aState, const server_id& aServer, time_point aNow);

} // namespace tamarackweir::capacity
