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

/// Times and limits of cold-start control.
struct options
{
  duration mLeaseDuration = 3s;
  /// Grants stop this long before the lease ends, and a take-over waits this much longer.
  duration mLeaseMargin = 500ms;
  duration mRenewInterval = 1s;
  duration mReadInterval = 1s;        ///< how often a contender reads another holder's row
  duration mCreditLifetime = 2s;      ///< from asking to the start of the request
  duration mMaxRequestDuration = 30s; ///< longest deadline of any request
  duration mAskTimeout = 500ms;       ///< then the next candidate is asked
  /// Asks of the whole fleet for one cold server. At 4 the holder exceeded 3 KB/s with its gossip.
  double mAsksPerSecond = 2;
  duration mIdleReleaseTimeout = 10s; ///< a lease that nobody asks for is given back after this
  std::int64_t mDefaultColdLimit = 1; ///< where neither report nor settings name one
  double mSlowFactor = 4;             ///< first-token time against the own recent median
  int mConsecutiveSlowLimit = 3;
  /// A new holder waits until earlier credits are counted or over. Off only to show what happens.
  bool mWaitAfterTakeOver = true;
  std::size_t mMedianSamples = 32; ///< answers in the recent median
};

/// `GET /load` of a backend server, as far as cold starts need it.
struct load_report
{
  server_id mServer;
  start_epoch mEpoch;
  std::uint64_t mSequence = 0;
  std::int64_t mRunning = 0;
  bool mCold = false;
  std::int64_t mColdLimit = 0; ///< 0 if the report names none
  /// The earliest moment, on the own clock, at which the server can have measured: when the fetch
  /// was sent, less the age that a relayed report states.
  time_point mMeasuredAt{};
};

/// Number of a credit, unique per asking instance and start epoch.
using credit_number = strong_type<struct credit_number_tag, std::uint64_t>;

/// Who asked for a credit, and which one.
struct credit_id
{
  instance_id mRequester;
  start_epoch mRequesterEpoch;
  credit_number mNumber;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 reports the compiler's comparison with 0
  auto operator<=>(const credit_id&) const = default;
};

/// Asks the lease holder (or the instance that should become it) for one credit.
struct credit_ask
{
  credit_id mId;
  server_id mServer;
  duration mMaxRun{}; ///< from asking to the end of the request at the latest
};

/// Answer to a `credit_ask`.
struct credit_answer
{
  credit_id mId;
  server_id mServer;
  bool mGranted = false;
  fencing_number mFencingNumber; ///< of the lease that granted
  instance_id mHolder;           ///< whom to ask next time; empty if unknown
  duration mRetryAfter{};        ///< of a denial
};

/// Tells the lease holder that a credit's request has ended or will not start. Sent again until
/// acknowledged or pointless.
struct credit_release
{
  credit_id mId;
  server_id mServer;
};

/// The holder's acknowledgement of a `credit_release`.
struct credit_release_ack
{
  credit_id mId;
  server_id mServer;
};

/// A message with its receiver.
template<class Message>
struct outgoing
{
  instance_id mTo;
  Message mMessage;
};

/// A conditional write of the row `cold/<server>`; hand the result to `OnWritten`.
struct lease_write
{
  server_id mServer;
  platform::transaction mTransaction;
};

/// A credit that this instance may use now; the shell calls `MayStart` immediately before the send.
struct usable_credit
{
  server_id mServer;
  credit_id mId;
};

/// News for the gossip: `mServer` is cold, and `mHolder` issues its credits.
struct cold_announcement
{
  server_id mServer;
  start_epoch mServerEpoch;
  instance_id mHolder;
  fencing_number mFencingNumber;
};

/// What the shell does after an event.
struct actions
{
  std::vector<lease_write> mWrites;
  std::vector<std::string> mReadKeys; ///< read in one request; hand the result to `OnRead`
  std::vector<outgoing<credit_ask>> mAsks;
  std::vector<outgoing<credit_answer>> mAnswers;
  std::vector<outgoing<credit_release>> mReleases;
  std::vector<outgoing<credit_release_ack>> mReleaseAcks;
  std::vector<usable_credit> mUsableCredits;
  std::vector<cold_announcement> mAnnouncements;
};

/// The row `cold/<server>` as last read or written. An empty holder is a lease given back; the row
/// stays so that the fencing number never falls.
struct lease_row
{
  std::uint64_t mVersion = 0; ///< of the table row; 0 is absent
  bool mVersionKnown = true;  ///< false after an own write: the table doesn't name the new version
  std::string mHolder;        ///< "<instance>#<start epoch>"
  fencing_number mFencingNumber;
  std::uint64_t mRenewal = 0;
  time_point mUnchangedSince{}; ///< when this holder, epoch and renewal were first seen here
};

/// A credit issued by this instance as lease holder.
struct issued_credit
{
  time_point mGrantedAt{};
  time_point mEndsBy{}; ///< its request must have ended
};

/// A write whose outcome is not known yet.
struct pending_write
{
  lease_row mWanted;
  time_point mSentAt{};
  bool mNeedsReadBack = false; ///< the answer was lost; the row tells
};

/// A lease that this instance holds.
struct held_lease
{
  fencing_number mFencingNumber;
  time_point mTakenAt{};   ///< when the take-over was known to have committed
  time_point mRenewedAt{}; ///< when the last successful renewal was sent
  bool mMayGrant = false;  ///< all requests of earlier holders are counted or over
  std::map<credit_id, issued_credit> mCredits;
  std::deque<time_point> mReleaseTimes; ///< recent releases
  std::int64_t mUncreditedRequests = 0; ///< requests at the server that hold none of these credits
  time_point mUncreditedEndBy{};        ///< then they must have ended
  std::deque<time_point> mAskTimes;     ///< asks of peers in the last seconds
  time_point mLastAskAt{};
};

/// An ask of this instance, from asking to the release.
struct own_credit
{
  server_id mServer;
  instance_id mIssuer; ///< the instance asked
  time_point mAskedAt{};
  time_point mEndsBy{};
  bool mGranted = false;
  bool mStarted = false;
  bool mReleasing = false;
  bool mTimedOut = false; ///< no answer yet; another candidate may be asked
  time_point mNextReleaseAt{};
};

/// What is known of one backend server.
struct server_state
{
  bool mReported = false;
  bool mCold = true;          ///< a server with no report yet is cold
  bool mColdObserved = false; ///< by a report, refusal, rumour or answer times; not by default
  time_point mColdSince{};
  load_report mReport;
  std::int64_t mSettingsColdLimit = 0;
  std::deque<duration> mFirstTokens;
  int mConsecutiveSlow = 0;
  std::optional<lease_row> mRow;
  time_point mRowReadAt{};
  bool mContending = false; ///< this instance wants the lease
  std::optional<pending_write> mPendingWrite;
  time_point mNextWriteAt{};
  std::optional<held_lease> mHeldLease;
  instance_id mHolder; ///< believed holder; empty if unknown
  fencing_number mHolderFencingNumber;
  std::size_t mCandidateRank = 0; ///< rank of the candidate to ask while no holder is known
  time_point mNextAskAt{};
  time_point mLastWantedAt{};
};

/// All of an instance's cold-start state.
struct state
{
  options mOptions;
  instance_id mSelf;
  start_epoch mEpoch;
  std::vector<instance_id> mLiveInstances; ///< live instances with this one
  std::map<server_id, server_state> mServers;
  std::map<credit_id, own_credit> mOwnCredits;
  std::uint64_t mNextCreditNumber = 1;
};

/// A state that knows no server.
state Start(const options& aOptions, const instance_id& aSelf, start_epoch aEpoch);

/// Takes the live instances, which are the lease candidates; this instance may be left out.
void OnLiveInstances(state& aState, std::vector<instance_id> aLive);

/// Takes the settings' `cold_limit` of a server; a report's limit applies where it is lower.
void OnSettings(state& aState, const server_id& aServer, std::int64_t aColdLimit);

/// Forgets a server that is gone from the instance list.
void OnServerGone(state& aState, const server_id& aServer);

/// Takes a load report, possibly late or out of order.
actions OnLoadReport(state& aState, const load_report& aReport, time_point aNow);

/// Takes a 503 `not_run` of a backend server.
actions OnServerRefusal(state& aState, const server_id& aServer, time_point aNow);

/// Takes the first-token time of an answer. Three in a row above four times the median make the
/// server cold.
actions OnFirstToken(state& aState, const server_id& aServer, duration aTime, time_point aNow);

/// Takes a cold announcement of another instance.
actions OnColdAnnouncement(state& aState, const cold_announcement& aRumour, time_point aNow);

/// Whether requests to the server need a credit.
bool IsCold(const state& aState, const server_id& aServer);

/// The shell has a request that could run on the cold server and is willing to wait: asks for a
/// credit unless the limit on asks forbids it. Returns the number, or nothing if no ask is due. The
/// holder asks itself. `aMaxRun` is the time left until the request's deadline.
std::optional<credit_id> RequestCredit(state& aState, const server_id& aServer, duration aMaxRun,
                                       actions& aActions, time_point aNow,
                                       std::mt19937_64& aRandom);

/// Takes a peer's ask; grants, denies, or contends for the lease.
actions OnCreditAsk(state& aState, const credit_ask& aAsk, time_point aNow);

/// Takes an answer. A late one is released at once, an early grant is in `mUsable`.
actions OnCreditAnswer(state& aState, const credit_answer& aAnswer, time_point aNow,
                       std::mt19937_64& aRandom);

/// Whether a request may start on the credit now. Checked immediately before the send; marks the
/// credit as used.
bool TryUseCredit(state& aState, const credit_id& aCredit, time_point aNow);

/// The credit's request has ended, or the credit is not needed.
actions FinishCredit(state& aState, const credit_id& aCredit, time_point aNow);

/// Takes a release from a peer.
actions OnCreditRelease(state& aState, const credit_release& aRelease, time_point aNow);

/// Takes an acknowledgement of an own release.
void OnCreditReleaseAck(state& aState, const credit_release_ack& aAck);

/// Takes the result of a `lease_write`.
actions OnLeaseWritten(state& aState, const server_id& aServer,
                       const platform::commit_result& aResult, time_point aNow);

/// Takes the result of a read of `aKeys`.
actions OnLeaseRowsRead(state& aState, const std::vector<std::string>& aKeys,
                        const platform::read_result& aResult, time_point aNow);

/// Renews leases, reads rows, takes over, gives leases back, sends releases again. Call about every
/// 100 ms.
actions Tick(state& aState, time_point aNow);

/// The instances in the order in which they should hold the lease of `aServer` (rendezvous
/// hashing).
std::vector<instance_id> LeaseCandidates(const state& aState, const server_id& aServer);

/// Credits that this instance could issue for the server now; 0 if it doesn't hold a valid lease.
std::int64_t FreeCredits(const state& aState, const server_id& aServer, time_point aNow);

} // namespace tamarackweir::capacity
