#include "quarantine/quarantine.h"

#include "base/digest.h"

#include <algorithm>

namespace tamarackweir::quarantine {

using nlohmann::json;

namespace {

constexpr const char* kRowPrefix = "quarantine/";
constexpr const char* kLockPrefix = "quarantine-server/";

bool IsExpired(const state& aState, const entry& aEntry, time_point aNow)
{
  return aNow - aEntry.mLastChange >= aState.mOptions.mExpiry;
}

std::size_t CountUnclearedCrashes(const entry& aEntry)
{
  return static_cast<std::size_t>(std::count_if(
    aEntry.mCrashes.begin(), aEntry.mCrashes.end(),
    [&](const server_incarnation& aCrashed) { return !aEntry.mCleared.contains(aCrashed); }));
}

/// Returns the row of a quarantined fingerprint, whose stored state is `convicted`.
json MakeQuarantinedRow(const state& aState)
{
  return { { "state", "convicted" }, { "by", aState.mSelf.Value() } };
}

void Store(state& aState, platform::transaction aTransaction, actions& aOut)
{
  const std::uint64_t id = ++aState.mLastNumber;
  aOut.mStore.push_back({ id, aTransaction });
  aState.mPendingStores.emplace(id, std::move(aTransaction));
}

/// Releases the rows of a held re-run. The fingerprint's row becomes a quarantined row with
/// `aQuarantined`, else it is removed.
void ReleaseRerun(state& aState, const fingerprint& aFingerprint, bool aQuarantined, actions& aOut)
{
  const auto found = aState.mHeldReruns.find(aFingerprint);
  if (found == aState.mHeldReruns.end()) {
    return;
  }
  const auto& [server, rowVersion, lockVersion] = found->second;
  const std::string row = RowKey(aFingerprint);
  platform::transaction release{ { { row, rowVersion }, { LockKey(server), lockVersion } },
                                 {},
                                 { LockKey(server) } };
  if (aQuarantined) {
    release.mPut.push_back({ row, MakeQuarantinedRow(aState) });
  } else {
    release.mRemove.push_back(row);
  }
  Store(aState, std::move(release), aOut);
  aState.mHeldReruns.erase(found);
}

/// Quarantines a fingerprint with two or more crashes that no re-run has cleared.
void QuarantineAfterTwoCrashes(state& aState, const fingerprint& aFingerprint, entry& aEntry,
                               actions& aOut)
{
  if (aEntry.mQuarantined || CountUnclearedCrashes(aEntry) < 2) {
    return;
  }
  aEntry.mQuarantined = true;
  // Only instances whose runs crashed write the row; otherwise every instance would write it.
  if (aEntry.mCrashedLocally) {
    Store(aState, { {}, { { RowKey(aFingerprint), MakeQuarantinedRow(aState) } }, {} }, aOut);
  }
}

void SendReport(state& aState, report aReport, std::set<request_id> aWaiting,
                const std::set<instance_id>& aPeers, actions& aOut, time_point aNow)
{
  if (aPeers.empty()) {
    aOut.mAnswer.insert(aOut.mAnswer.end(), aWaiting.begin(), aWaiting.end());
    return;
  }
  aReport.mFrom = aState.mSelf;
  aReport.mSequence = ++aState.mLastNumber;
  aOut.mSend.push_back({ aReport, aPeers });
  const std::uint64_t sequence = aReport.mSequence;
  aState.mPendingReports.emplace(
    sequence, pending_report{ std::move(aReport), aPeers, std::move(aWaiting), aNow, aNow });
}

/// Returns the time since this instance first read the row's current version.
duration UnchangedTime(state& aState, const platform::row& aRow, time_point aNow)
{
  auto& [version, since] = aState.mSeenRows[aRow.mKey];
  if (version != aRow.mVersion) {
    version = aRow.mVersion;
    since = aNow;
  }
  return aNow - since;
}

} // namespace

fingerprint MakeFingerprint(const account_id& aAccount, std::string_view aEngineBody)
{
  return { aAccount, Sha256Hex(aEngineBody) };
}

std::string RowKey(const fingerprint& aFingerprint)
{
  return kRowPrefix + aFingerprint.mAccount.Value() + "/" + aFingerprint.mDigest;
}

std::string LockKey(const server_id& aServer)
{
  return kLockPrefix + aServer.Value();
}

fingerprint_status GetStatus(const state& aState, const fingerprint& aFingerprint, time_point aNow)
{
  const auto found = aState.mEntries.find(aFingerprint);
  if (found == aState.mEntries.end() || IsExpired(aState, found->second, aNow)) {
    return fingerprint_status::Normal;
  }
  const std::size_t crashes = CountUnclearedCrashes(found->second);
  if (found->second.mQuarantined || crashes >= 2) {
    return fingerprint_status::Quarantined;
  }
  return crashes == 1 ? fingerprint_status::Suspect : fingerprint_status::Normal;
}

void OnDispatch(state& aState, const request_id& aRequest, const run& aRun)
{
  aState.mRuns.insert_or_assign(aRequest, aRun);
}

actions OnCompleted(state& aState, const request_id& aRequest, const std::set<instance_id>& aPeers,
                    time_point aNow)
{
  actions result;
  const auto found = aState.mRuns.find(aRequest);
  if (found == aState.mRuns.end()) {
    return result;
  }
  const run ended = found->second;
  aState.mRuns.erase(found);
  if (!ended.mIsRerun) {
    return result;
  }
  entry& known = aState.mEntries[ended.mFingerprint];
  if (!known.mQuarantined) {
    known.mCleared.insert(known.mCrashes.begin(), known.mCrashes.end());
    report cleared;
    cleared.mCleared[ended.mFingerprint] = known.mCleared;
    SendReport(aState, std::move(cleared), {}, aPeers, result, aNow);
  }
  ReleaseRerun(aState, ended.mFingerprint, known.mQuarantined, result);
  return result;
}

void OnCancelled(state& aState, const request_id& aRequest, time_point aNow)
{
  if (const auto found = aState.mRuns.find(aRequest); found != aState.mRuns.end()) {
    found->second.mCancelledAt = aNow;
  }
}

actions OnServerCrash(state& aState, const server_incarnation& aCrashed,
                      const std::set<instance_id>& aPeers, time_point aNow)
{
  actions result;
  report suspects;
  std::set<request_id> waiting;
  for (auto it = aState.mRuns.begin(); it != aState.mRuns.end();) {
    const auto& [request, affected] = *it;
    if (affected.mIncarnation != aCrashed) {
      ++it;
      continue;
    }
    entry& known = aState.mEntries[affected.mFingerprint];
    known.mCrashes.insert(aCrashed);
    known.mLastChange = aNow;
    known.mCrashedLocally = true;
    if (affected.mIsRerun) {
      known.mQuarantined = true;
      ReleaseRerun(aState, affected.mFingerprint, true, result);
    }
    QuarantineAfterTwoCrashes(aState, affected.mFingerprint, known, result);
    suspects.mCrashes[affected.mFingerprint] = known.mCrashes;
    if (known.mQuarantined) {
      suspects.mQuarantined.insert(affected.mFingerprint);
    }
    if (!affected.mCancelledAt) {
      waiting.insert(request);
    }
    it = aState.mRuns.erase(it);
  }
  if (!suspects.mCrashes.empty()) {
    SendReport(aState, std::move(suspects), std::move(waiting), aPeers, result, aNow);
  }
  return result;
}

report_ack OnReport(state& aState, const report& aReport, time_point aNow)
{
  actions unsent; // Not returned: `OnTick` sends the store requests kept in the state.
  for (const auto& [suspect, crashes] : aReport.mCrashes) {
    entry& known = aState.mEntries[suspect];
    const std::size_t before = known.mCrashes.size();
    known.mCrashes.insert(crashes.begin(), crashes.end());
    if (known.mCrashes.size() > before) {
      known.mLastChange = aNow;
    }
  }
  for (const auto& [suspect, crashes] : aReport.mCleared) {
    entry& known = aState.mEntries[suspect];
    if (known.mCrashes.empty() && known.mCleared.empty()) {
      known.mLastChange = aNow;
    }
    known.mCleared.insert(crashes.begin(), crashes.end());
  }
  for (const auto& [suspect, crashes] : aReport.mCrashes) {
    QuarantineAfterTwoCrashes(aState, suspect, aState.mEntries[suspect], unsent);
  }
  for (const fingerprint& quarantined : aReport.mQuarantined) {
    entry& known = aState.mEntries[quarantined];
    if (!known.mQuarantined) {
      known.mQuarantined = true;
      known.mLastChange = aNow;
    }
  }
  return { aState.mSelf, aReport.mSequence };
}

actions OnAck(state& aState, const report_ack& aAck)
{
  actions result;
  const auto found = aState.mPendingReports.find(aAck.mSequence);
  if (found != aState.mPendingReports.end()) {
    found->second.mUnacknowledgedBy.erase(aAck.mFrom);
    if (found->second.mUnacknowledgedBy.empty()) {
      result.mAnswer.assign(found->second.mHeldRequests.begin(), found->second.mHeldRequests.end());
      aState.mPendingReports.erase(found);
    }
  }
  return result;
}

void OnStored(state& aState, std::uint64_t aId, const platform::commit_result& aResult)
{
  // A conflict is final too: another instance has changed the row in the meantime.
  if (aResult.mStatus == platform::commit_status::Committed ||
      aResult.mStatus == platform::commit_status::Conflict) {
    aState.mPendingStores.erase(aId);
  }
}

actions OnTick(state& aState, time_point aNow)
{
  actions result;
  const options& intervals = aState.mOptions;
  for (auto it = aState.mPendingReports.begin(); it != aState.mPendingReports.end();) {
    pending_report& pending = it->second;
    if (aNow - pending.mFirstSent >= intervals.mReportTimeout) {
      result.mAnswer.insert(result.mAnswer.end(), pending.mHeldRequests.begin(),
                            pending.mHeldRequests.end());
      pending.mHeldRequests.clear();
    }
    if (aNow - pending.mFirstSent >= intervals.mResendDuration) {
      it = aState.mPendingReports.erase(it);
      continue;
    }
    if (aNow - pending.mLastSent >= intervals.mResendInterval) {
      pending.mLastSent = aNow;
      result.mSend.push_back({ pending.mReport, pending.mUnacknowledgedBy });
    }
    ++it;
  }
  for (auto it = aState.mRuns.begin(); it != aState.mRuns.end();) {
    const run& dispatched = it->second;
    if (dispatched.mCancelledAt && aNow - *dispatched.mCancelledAt >= intervals.mCancelGrace) {
      if (dispatched.mIsRerun) {
        ReleaseRerun(aState, dispatched.mFingerprint, false, result);
      }
      it = aState.mRuns.erase(it);
    } else {
      ++it;
    }
  }
  std::erase_if(aState.mEntries,
                [&](const auto& aEntry) { return IsExpired(aState, aEntry.second, aNow); });
  if (aNow - aState.mLastStore >= intervals.mStoreRetryInterval) {
    aState.mLastStore = aNow;
    result.mStore.clear();
    for (const auto& [id, transaction] : aState.mPendingStores) {
      result.mStore.push_back({ id, transaction });
    }
  }
  return result;
}

platform::read_request MakeAllRowsRead()
{
  return { {}, kRowPrefix };
}

actions OnAllRows(state& aState, const platform::read_result& aRows, time_point aNow)
{
  actions result;
  if (!aRows.mReachable) {
    return result;
  }
  std::erase_if(aState.mSeenRows, [&](const auto& aSeen) {
    return aSeen.first.starts_with(kRowPrefix) && Find(aRows, aSeen.first) == nullptr;
  });
  for (const platform::row& row : aRows.mRows) {
    const duration unchanged = UnchangedTime(aState, row, aNow);
    if (row.mValue.value("state", "") != "convicted") {
      continue;
    }
    if (unchanged >= aState.mOptions.mExpiry) {
      Store(aState, { { { row.mKey, row.mVersion } }, {}, { row.mKey } }, result);
      continue;
    }
    const std::string name = row.mKey.substr(std::string_view(kRowPrefix).size());
    const auto slash = name.rfind('/');
    if (slash == std::string::npos) {
      continue;
    }
    entry& known = aState.mEntries[{ account_id(name.substr(0, slash)), name.substr(slash + 1) }];
    if (!known.mQuarantined) {
      known.mQuarantined = true;
      known.mLastChange = aNow - unchanged;
    }
  }
  return result;
}

platform::read_request MakeRerunRead(const fingerprint& aFingerprint,
                                     const std::vector<server_id>& aCandidates)
{
  platform::read_request request{ { RowKey(aFingerprint) }, {} };
  for (const server_id& server : aCandidates) {
    request.mKeys.push_back(LockKey(server));
  }
  return request;
}

rerun_plan PlanRerun(state& aState, const fingerprint& aFingerprint,
                     const platform::read_result& aRows, const std::vector<server_id>& aCandidates,
                     const std::string& aToken, time_point aNow)
{
  if (!aRows.mReachable) {
    return {};
  }
  if (GetStatus(aState, aFingerprint, aNow) == fingerprint_status::Quarantined) {
    return { rerun_step::Quarantined, {}, {} };
  }
  const std::string key = RowKey(aFingerprint);
  if (const platform::row* stored = Find(aRows, key)) {
    const bool isRerun = stored->mValue.value("state", "") == "rerun";
    const server_id server(stored->mValue.value("server", ""));
    const platform::row* lock = Find(aRows, LockKey(server));
    if (isRerun && stored->mValue.value("token", "") == aToken && lock != nullptr) {
      aState.mHeldReruns[aFingerprint] = { server, stored->mVersion, lock->mVersion };
      return { rerun_step::Run, server, {} };
    }
    const bool isExpired = UnchangedTime(aState, *stored, aNow) >= aState.mOptions.mRerunTimeout;
    if (isRerun && !isExpired) {
      return { rerun_step::Wait, {}, {} };
    }
    entry& known = aState.mEntries[aFingerprint];
    known.mQuarantined = true;
    known.mLastChange = aNow;
    rerun_plan plan{ rerun_step::Quarantined, {}, {} };
    if (isRerun) {
      plan.mTransaction = { { { key, stored->mVersion } },
                            { { key, MakeQuarantinedRow(aState) } },
                            {} };
    }
    return plan;
  }
  for (const server_id& server : aCandidates) {
    const platform::row* lock = Find(aRows, LockKey(server));
    if (lock != nullptr && UnchangedTime(aState, *lock, aNow) < aState.mOptions.mRerunTimeout) {
      continue;
    }
    const json row{ { "state", "rerun" },
                    { "token", aToken },
                    { "server", server.Value() },
                    { "holder", aState.mSelf.Value() } };
    return { rerun_step::Commit,
             server,
             { { { key, 0 }, { LockKey(server), lock == nullptr ? 0 : lock->mVersion } },
               { { key, row }, { LockKey(server), { { "token", aToken } } } },
               {} } };
  }
  return { rerun_step::Wait, {}, {} };
}

std::vector<server_id> HomeServers(const fingerprint& aFingerprint,
                                   const std::vector<server_id>& aServers)
{
  const std::uint64_t seed = StableHash(RowKey(aFingerprint));
  std::vector<std::pair<std::uint64_t, server_id>> ranked;
  ranked.reserve(aServers.size());
  for (const server_id& server : aServers) {
    ranked.emplace_back(StableHash(server.Value(), seed), server);
  }
  const std::size_t count = std::min<std::size_t>(2, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end());
  std::vector<server_id> homes;
  for (std::size_t i = 0; i < count; ++i) {
    homes.push_back(std::move(ranked[i].second));
  }
  return homes;
}

} // namespace tamarackweir::quarantine
