#pragma once

#include "base/clock.h"
#include "base/strong_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tamarackweir::quarantine {

/// Hash of the id of a prompt part.
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
  time_point mAt{};             ///< by the clock of this instance
  bool mIsOwn = false;          ///< seen by this instance, not reported by another one
};

/// Thresholds and times of the quarantine of prompt parts.
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
  int mProbationWeight = 2;  ///< enough to quarantine a part on probation again
  duration mFirstTerm = std::chrono::minutes(1); ///< of a quarantine; doubles each time
  duration mLongestTerm = std::chrono::hours(1);
  duration mAnswerMemory = std::chrono::minutes(10); ///< for which answered parts are remembered
  std::size_t mMaxAnswered = 8192;                   ///< parts that are remembered
  std::size_t mMaxRecords = 4096;                    ///< further crashes are not recorded
};

/// Requests with the part are refused for `mTerm`. Then it is on probation for the same time: one
/// crash quarantines it again.
struct quarantine_entry
{
  time_point mSince{};
  duration mTerm{};
};

/// Crashes of backend servers that an instance knows of, and the prompt parts of the requests that
/// were on them.
///
/// A crash breaks all requests on the server, and at most one of them has caused it. A complete
/// answer after the crash to a request with a part clears that part. Of the remaining parts of a
/// prompt the one with the oldest last answer is blamed.
struct crash_board
{
  crash_options mOptions;
  std::map<std::uint64_t, crash_record> mRecords;
  /// Time of the last complete answer to a request with the part, at any instance.
  std::unordered_map<cause_key, time_point> mAnswered;
  std::map<cause_key, time_point> mSuspected; ///< time since which the part is suspected
  std::map<cause_key, quarantine_entry> mQuarantined;
  /// Parts whose answers another instance wants to know, and until when.
  std::unordered_map<cause_key, time_point> mWatched;
};

/// Adds a crash, unless it is known.
void RecordCrash(crash_board& aBoard, const crash_record& aRecord);

/// Records a complete answer to a request with these parts.
void RecordAnswer(crash_board& aBoard, const std::vector<cause_key>& aParts, time_point aAt);

/// Whether a request with one of these parts must not reach a server. A part of which a request has
/// been answered since its quarantine began is free again.
bool IsQuarantined(const crash_board& aBoard, const std::vector<cause_key>& aParts, time_point aNow);

/// Decides which parts are suspected of the known crashes, and quarantines the one with most
/// evidence against it, if that is enough. Only one at a time, since a quarantined part explains
/// crashes, and so clears the parts beside it.
std::optional<cause_key> QuarantineWorstSuspect(crash_board& aBoard, time_point aNow);

/// Removes records, answers and quarantines that have expired.
void RemoveExpired(crash_board& aBoard, time_point aNow);

} // namespace tamarackweir::quarantine
