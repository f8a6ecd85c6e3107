#pragma once

#include "base/clock.h"
#include "base/strong_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tamarackweir::quarantine {

/// What may make servers crash: the hash of a prompt part's id, or the fingerprint of a request.
using cause_key = strong_type<struct cause_key_tag, std::uint64_t>;

/// How far the answer to a request had come when its backend server crashed.
enum class run_stage
{
  Waiting,   ///< nothing of the answer had arrived
  JustBegun, ///< the answer had begun a moment ago
  Streaming, ///< the answer had been arriving for some time
};

/// A request that was at a backend server when the server crashed.
struct crash_record
{
  std::uint64_t mId = 0;     ///< hash of the attempt and the server; equal records merge
  std::uint64_t mServer = 0; ///< hash of the server's id and start
  run_stage mStage = run_stage::Waiting;
  std::vector<cause_key> mParts; ///< those that other requests may share, in the prompt's order
  cause_key mRequest;            ///< the request itself; 0: reported by an earlier release
  time_point mAt{};              ///< by the clock of this instance
  time_point mSent{};            ///< when the request was sent to the server; default: not known
  bool mIsOwn = false;           ///< seen by this instance, not reported by another one
};

/// Thresholds and times of the quarantine.
struct crash_options
{
  duration mMemory = 30s;     ///< a crash that is older no longer counts
  duration mJustBegun = 1s;   ///< an answer that is younger has just begun
  duration mOneEvent = 300ms; ///< crashes this close together have one cause, such as a power cut
  /// Between asking other instances for answers to a suspected part, and its quarantine.
  duration mQuestionTime = 500ms;
  int mJustBegunWeight = 2;  ///< of a crash at the beginning of the answer
  int mOtherWeight = 1;      ///< of a crash at any other moment
  int mSuspicionWeight = 3;  ///< more than one crash; other instances are asked for answers
  int mQuarantineWeight = 6; ///< three crashes at the beginning of an answer
  int mProbationWeight = 2;  ///< enough for another quarantine during the probation
  int mTrialWeight = 6;      ///< three crashes, however close together; the request is run alone
  duration mFirstTerm = std::chrono::minutes(1); ///< of a part's quarantine; doubles each time
  /// Of a request's first quarantine. Nobody else's requests are refused by it, and each probation
  /// may cost a server.
  duration mFirstRequestTerm = std::chrono::minutes(15);
  duration mLongestTerm = std::chrono::hours(1);
  duration mAnswerMemory = std::chrono::minutes(10); ///< for which answered parts are remembered
  std::size_t mMaxAnswered = 8192;                   ///< parts that are remembered
  std::size_t mMaxRecords = 4096;                    ///< further crashes are not recorded
  /// Between two crashes of a request that count together. It is longer than `mMemory`, since a
  /// request may come again at any time, while a part comes with many requests.
  duration mRequestMemory = std::chrono::minutes(10);
  std::size_t mMaxRequests = 4096;       ///< whose crashes, or answers, are remembered
  std::size_t mMaxCrashesOfRequest = 16; ///< the newest ones are remembered
  duration mTrialMemory = 3s;            ///< of a trial since its last report by a peer
};

/// Requests with the part, or the request itself, are refused for `mTerm`. Then it is on probation
/// for the same time: one crash quarantines it again.
struct quarantine_entry
{
  time_point mSince{};
  duration mTerm{};
  bool mIsRequest = false; ///< a whole request, not a prompt part
};

/// The crash of one server under a request.
struct request_crash
{
  time_point mSent{}; ///< default: not known
  time_point mAt{};
  int mWeight = 0;
  bool mIsExplained = false; ///< a request is quarantined that was on the server as well
};

/// Crashes under one request, however often and at whichever instance it comes, since its last
/// complete answer.
struct request_crashes
{
  std::map<std::uint64_t, request_crash> mByServer;
};

/// Evidence against one request.
struct request_evidence
{
  int mWeight = 0; ///< of all crashes, however close together
  /// The same, but of crashes with one cause only the heaviest counts, and none that is explained.
  int mSeparateWeight = 0;
  bool mFailedTrial = false; ///< a server crashed once the request was on trial
};

/// Crashes of backend servers that an instance knows of, and the requests that were on them.
///
/// A crash breaks all requests on the server, and at most one of them has caused it. A complete
/// answer after the crash clears the request and the parts of its prompt. Of the remaining parts
/// the one with the oldest last answer is blamed. If it was ever answered, and one and the same
/// request was on all servers that crashed under it, that request is blamed instead. Crashes at one
/// moment may have another cause, as a power cut; after them a request is run alone, which shows.
struct crash_board
{
  crash_options mOptions;
  std::map<std::uint64_t, crash_record> mRecords;
  /// Time of the last complete answer to a request with the part, at any instance.
  std::unordered_map<cause_key, time_point> mAnswered;
  std::map<cause_key, request_crashes> mRequests; ///< crashes by request
  /// Time of the last complete answer to a request, in two generations: the older one is dropped
  /// when the newer one is full.
  std::unordered_map<cause_key, time_point> mAnsweredRequests;
  std::unordered_map<cause_key, time_point> mEarlierAnsweredRequests;
  /// Servers that crashed under a request that is quarantined, and when it was.
  std::unordered_map<std::uint64_t, time_point> mExplained;
  std::map<cause_key, time_point> mSuspected; ///< time since which it is suspected
  std::map<cause_key, quarantine_entry> mQuarantined;
  /// Parts and requests whose answers another instance wants to know, and until when.
  std::unordered_map<cause_key, time_point> mWatched;
  /// Requests that a peer reported as on trial, and when.
  std::unordered_map<cause_key, time_point> mTrials;
};

/// What a crash that is recorded adds to the evidence against the request that was on the server.
enum class crash_effect
{
  Known,       ///< nothing: it was recorded before
  Counted,     ///< a further crash
  Merged,      ///< a further crash, of an event that is known
  Answered,    ///< nothing: the request has been answered since
  Quarantined, ///< nothing: the request is quarantined already
  NoRequest,   ///< nothing: the report has no request
};

/// Adds a crash, unless it is known.
crash_effect RecordCrash(crash_board& aBoard, const crash_record& aRecord);

/// Records a complete answer to a request with these parts, or the answer to one of these requests
/// of which another instance tells.
void RecordAnswer(crash_board& aBoard, const std::vector<cause_key>& aKeys, time_point aAt);

/// Records a complete answer to this request. Fewer of them are remembered, as each request is
/// another one.
void RecordRequestAnswer(crash_board& aBoard, cause_key aRequest, time_point aAt);

/// Time of the last known complete answer to the request, or to a request with the part;
/// `time_point::min()` if there is none.
time_point LastAnswer(const crash_board& aBoard, cause_key aKey);

/// Whether a request with one of these parts, or one of these requests, must not reach a server.
/// What has been answered since its quarantine began is free again.
bool IsQuarantined(const crash_board& aBoard, const std::vector<cause_key>& aKeys, time_point aNow);

/// The evidence against a request. Crashes have one cause if they are close together and no run at
/// one of the servers began after the first crash.
request_evidence EvidenceAgainst(const crash_board& aBoard, cause_key aRequest);

/// Quarantines a request or part, and drops the evidence against it. The crashes under a request
/// quarantine no other request that was on the same servers; that one is put on trial.
void Quarantine(crash_board& aBoard, cause_key aKey, const quarantine_entry& aEntry);

/// Whether the request is run alone, one run at a time on all instances: three servers crashed
/// under it, perhaps at one moment, or its quarantine has just ended. A complete answer ends it,
/// and a crash of a run alone is not a coincidence.
bool IsOnTrial(const crash_board& aBoard, cause_key aRequest, time_point aNow);

/// Decides which parts and requests are suspected of the known crashes, and quarantines the one
/// with most evidence against it, if that is enough. Only one at a time, since it explains crashes,
/// and so clears the parts beside it.
std::optional<cause_key> QuarantineWorstSuspect(crash_board& aBoard, time_point aNow);

/// Removes records, answers and quarantines that have expired.
void RemoveExpired(crash_board& aBoard, time_point aNow);

} // namespace tamarackweir::quarantine
