#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "platform/table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackweir::quarantine {

/// Identifies equal requests for crash counting: the client account and the SHA-256 of the request
/// body sent to the engine. It includes the account, so that no account can get another account's
/// request quarantined.
struct fingerprint
{
  account_id mAccount;
  std::string mDigest;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 reports the compiler's comparison with 0
  auto operator<=>(const fingerprint&) const = default;
};

/// Returns the fingerprint of a request. `aEngineBody` is the body as sent to the engine, without
/// request id and trace headers.
fingerprint MakeFingerprint(const account_id& aAccount, std::string_view aEngineBody);

/// One lifetime of a backend server process, from start to crash: a restart has another epoch.
struct server_incarnation
{
  server_id mServer;
  start_epoch mEpoch;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 reports the compiler's comparison with 0
  auto operator<=>(const server_incarnation&) const = default;
};

/// Timeouts and intervals of the quarantine.
struct options
{
  duration mReportTimeout = 200ms; ///< longest time that a caller waits for acknowledgements
  duration mResendInterval = 50ms; ///< between sends of an unacknowledged report
  duration mResendDuration = 10s;  ///< an unacknowledged report is dropped after this time
  duration mCancelGrace = 5s;      ///< a cancelled run may still crash its server for this time
  duration mExpiry = std::chrono::hours(1); ///< of entries, and of quarantined table rows
  duration mStoreRetryInterval = 1s;        ///< between attempts to commit pending store requests
  duration mRerunTimeout = 120s; ///< the holder of a re-run row unchanged for this long is dead
};

/// A report to peers. Reports merge by set union, so order, repetition and resending after a loss
/// do not change the result.
struct report
{
  instance_id mFrom;
  std::uint64_t mSequence = 0;
  std::map<fingerprint, std::set<server_incarnation>> mCrashes; ///< of suspects
  std::map<fingerprint, std::set<server_incarnation>> mCleared; ///< by a completed re-run
  std::set<fingerprint> mQuarantined;
};

/// Acknowledges the report with this sequence number.
struct report_ack
{
  instance_id mFrom;
  std::uint64_t mSequence = 0;
};

/// What this instance knows of one fingerprint.
struct entry
{
  std::set<server_incarnation> mCrashes;
  std::set<server_incarnation> mCleared;
  bool mQuarantined = false;
  bool mCrashedLocally = false; ///< in a run of this instance, which then stores the row
  time_point mLastChange{};     ///< last new crash or quarantine, by the local clock
};

/// A request that this instance has dispatched to a backend server.
struct run
{
  fingerprint mFingerprint;
  server_incarnation mIncarnation; ///< at dispatch
  bool mIsRerun = false;           ///< a re-run whose table rows this instance holds
  std::optional<time_point> mCancelledAt{};
};

/// A report that not all peers have acknowledged.
struct pending_report
{
  report mReport;
  std::set<instance_id> mUnacknowledgedBy;
  std::set<request_id> mHeldRequests; ///< answered once all peers have acknowledged
  time_point mFirstSent{};
  time_point mLastSent{};
};

/// The versions of the table rows of a re-run that this instance holds.
struct held_rerun
{
  server_id mServer;
  std::uint64_t mRowVersion = 0;
  std::uint64_t mLockVersion = 0;
};

/// A transaction to commit to the table.
struct store_request
{
  std::uint64_t mId = 0;
  platform::transaction mTransaction;
};

/// The quarantine state of one instance.
struct state
{
  instance_id mSelf;
  options mOptions;
  std::map<request_id, run> mRuns;
  std::map<fingerprint, entry> mEntries;
  std::map<fingerprint, held_rerun> mHeldReruns;
  std::map<std::uint64_t, pending_report> mPendingReports;
  std::map<std::uint64_t, platform::transaction> mPendingStores;
  std::uint64_t mLastNumber = 0; ///< last id of a report or store request
  time_point mLastStore{};
  std::map<std::string, std::pair<std::uint64_t, time_point>> mSeenRows; ///< version, first read
};

/// A report and the peers to send it to.
struct outgoing_report
{
  report mReport;
  std::set<instance_id> mTo;
};

/// What the control loop has to do after an event.
struct actions
{
  std::vector<outgoing_report> mSend;
  std::vector<request_id> mAnswer;   ///< requests whose callers may be told of the crash now
  std::vector<store_request> mStore; ///< commit each, then call `OnStored`
};

/// How requests with a fingerprint may run.
enum class fingerprint_status
{
  Normal,      ///< without restriction
  Suspect,     ///< only as a re-run, after `PlanRerun` returned `rerun_step::Run`
  Quarantined, ///< refused with `not_run`
};

/// Returns how a request with this fingerprint may run now. Called at every dispatch.
fingerprint_status GetStatus(const state& aState, const fingerprint& aFingerprint, time_point aNow);

/// A request is about to be dispatched. Called before its first byte is sent.
void OnDispatch(state& aState, const request_id& aRequest, const run& aRun);

/// A run ended without a crash of its server. A completed re-run clears the fingerprint's crashes,
/// unless it is quarantined; the actions report that to the peers and release the table rows.
actions OnCompleted(state& aState, const request_id& aRequest, const std::set<instance_id>& aPeers,
                    time_point aNow);

/// The caller cancelled the request; the run may still crash its server. A cancelled re-run does
/// not clear its fingerprint, which stays a suspect; its rows are removed after the grace time if
/// no crash occurred.
void OnCancelled(state& aState, const request_id& aRequest, time_point aNow);

/// A backend server crashed: its connections were reset or its epoch changed while requests ran.
/// Timeouts and network failures do not count as crashes. The fingerprints of all its runs become
/// suspects; that of a re-run is quarantined.
actions OnServerCrash(state& aState, const server_incarnation& aCrashed,
                      const std::set<instance_id>& aPeers, time_point aNow);

/// Merges a peer's report and returns the acknowledgement to send back. Two uncleared crashes
/// quarantine a fingerprint.
report_ack OnReport(state& aState, const report& aReport, time_point aNow);

/// A peer acknowledged a report.
actions OnAck(state& aState, const report_ack& aAck);

/// A store request was answered. `OnTick` retries it if its outcome is unknown.
void OnStored(state& aState, std::uint64_t aId, const platform::commit_result& aResult);

/// Answers callers whose wait timed out, resends reports and store requests, releases the rows of
/// cancelled re-runs and expires entries.
actions OnTick(state& aState, time_point aNow);

/// Returns the read of all quarantine rows, made at the start and every few minutes.
platform::read_request MakeAllRowsRead();

/// All rows were read: quarantined fingerprints are adopted, and quarantined rows unchanged for the
/// expiry time are removed.
actions OnAllRows(state& aState, const platform::read_result& aRows, time_point aNow);

/// Returns the read that a re-run needs first: the fingerprint's row and the locks of the candidate
/// servers.
platform::read_request MakeRerunRead(const fingerprint& aFingerprint,
                                     const std::vector<server_id>& aCandidates);

/// The next step of a re-run after its rows were read.
enum class rerun_step
{
  Run,         ///< the rows are held: dispatch to `mServer` with `run::mIsRerun`
  Commit,      ///< commit the transaction; read and plan again, whatever its result
  Wait,        ///< another re-run is active, or all candidates are locked; retry later
  Quarantined, ///< refuse the request
  Unavailable, ///< the table did not answer; refuse with `not_run`
};

/// The planned step of a re-run. A non-empty transaction is also committed if the step is
/// `Quarantined`.
struct rerun_plan
{
  rerun_step mStep = rerun_step::Unavailable;
  server_id mServer;
  platform::transaction mTransaction;
};

/// Plans the re-run of a suspect. At most one re-run per fingerprint is active in the fleet, and at
/// most one per server, so that a harmless suspect never shares a server with one that crashes it.
/// A row whose holder has died quarantines the fingerprint, because its re-run may have crashed a
/// server.
/// \param aCandidates servers to choose from, ideally the fingerprint's `HomeServers` that are up
/// \param aToken id of this attempt, unique in the fleet; recognises an own commit whose answer was
///   lost
rerun_plan PlanRerun(state& aState, const fingerprint& aFingerprint,
                     const platform::read_result& aRows, const std::vector<server_id>& aCandidates,
                     const std::string& aToken, time_point aNow);

/// Returns the table key of a fingerprint's row.
std::string RowKey(const fingerprint& aFingerprint);

/// Returns the table key of a server's lock for re-runs.
std::string LockKey(const server_id& aServer);

/// Returns the two servers, chosen by rendezvous hashing, that run requests with this fingerprint;
/// all servers if there are fewer.
///
/// Reports can't stop identical requests dispatched before the reports have reached all instances.
/// If load balancing chooses the less loaded of these two, and a request whose home servers are
/// both down is treated as a suspect, identical requests reach at most two servers. All instances
/// must pass the same servers: those of the settings, up or down.
std::vector<server_id> HomeServers(const fingerprint& aFingerprint,
                                   const std::vector<server_id>& aServers);

} // namespace tamarackweir::quarantine
