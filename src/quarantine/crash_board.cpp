#include "quarantine/crash_board.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace tamarackweir::quarantine {

namespace {

/// By which the memory of answers is shortened while there are too many of them.
constexpr int kOverflowDivisor = 10;

/// The crash of one server, as evidence against one part.
struct server_crash
{
  time_point mAt{};
  int mWeight = 0;
};

/// All evidence against one part.
struct evidence
{
  std::map<std::uint64_t, server_crash> mCrashes; ///< by server
  /// Servers that crashed under a request with the part, by request.
  std::map<std::uint64_t, std::set<std::uint64_t>> mServersByRequest;
  std::size_t mPosition = 0; ///< in the prompt, the furthest back
};

int WeightOf(const crash_options& aOptions, run_stage aStage)
{
  return aStage == run_stage::JustBegun ? aOptions.mJustBegunWeight : aOptions.mOtherWeight;
}

/// The parts that may have caused the crash, as positions in the record.
std::vector<std::size_t> SuspectsOf(const crash_board& aBoard, const crash_record& aRecord)
{
  std::vector<std::size_t> suspects;
  time_point oldest = time_point::max();
  for (std::size_t i = 0; i < aRecord.mParts.size(); ++i) {
    const time_point answered = LastAnswer(aBoard, aRecord.mParts[i]);
    if (answered > aRecord.mAt || answered > oldest) {
      continue;
    }
    if (answered < oldest) {
      suspects.clear();
      oldest = answered;
    }
    suspects.push_back(i);
  }
  return suspects;
}

std::map<cause_key, evidence> CollectEvidence(const crash_board& aBoard, time_point aNow)
{
  const crash_options& options = aBoard.mOptions;
  std::map<cause_key, evidence> all;
  for (const auto& [id, record] : aBoard.mRecords) {
    if (aNow - record.mAt > options.mMemory || IsQuarantined(aBoard, record.mParts, aNow)) {
      continue;
    }
    const int weight = WeightOf(options, record.mStage);
    for (const std::size_t position : SuspectsOf(aBoard, record)) {
      evidence& against = all[record.mParts[position]];
      against.mPosition = std::max(against.mPosition, position);
      against.mServersByRequest[record.mRequest == cause_key() ? id : record.mRequest.Value()]
        .insert(record.mServer);
      const auto [crash, isNew] = against.mCrashes.try_emplace(
        record.mServer, server_crash{ .mAt = record.mAt, .mWeight = weight });
      if (!isNew) {
        crash->second.mAt = std::min(crash->second.mAt, record.mAt);
        crash->second.mWeight = std::max(crash->second.mWeight, weight);
      }
    }
  }
  return all;
}

/// Whether one and the same request was on all of the servers, so that it may be the cause.
bool IsOneRequest(const evidence& aEvidence)
{
  return std::any_of(
    aEvidence.mServersByRequest.begin(), aEvidence.mServersByRequest.end(),
    [&](const auto& aEntry) { return aEntry.second.size() == aEvidence.mCrashes.size(); });
}

/// Sums the evidence; of crashes with one cause only the heaviest counts.
int SumOf(const evidence& aEvidence, duration aOneEvent)
{
  std::vector<server_crash> crashes;
  for (const auto& [server, crash] : aEvidence.mCrashes) {
    crashes.push_back(crash);
  }
  std::sort(
    crashes.begin(), crashes.end(),
    [](const server_crash& aOne, const server_crash& aOther) { return aOne.mAt < aOther.mAt; });
  int sum = 0;
  int heaviest = 0;
  std::optional<time_point> begin;
  for (const server_crash& crash : crashes) {
    if (!begin || crash.mAt - *begin >= aOneEvent) {
      begin = crash.mAt;
      sum += heaviest;
      heaviest = 0;
    }
    heaviest = std::max(heaviest, crash.mWeight);
  }
  return sum + heaviest;
}

/// A suspected part or request with the evidence against it.
struct suspect
{
  cause_key mKey;
  int mWeight = 0;
  std::size_t mPosition = 0;
  bool mIsRequest = false;
  bool mIsExplained = false; ///< by a request that was on all servers, as the part was sound before
};

/// Position of a whole request, behind all parts of its prompt.
constexpr std::size_t kBehindAllParts = std::numeric_limits<std::size_t>::max();

std::vector<suspect> FindSuspects(const crash_board& aBoard, time_point aNow)
{
  std::vector<suspect> suspects;
  const auto isSuspected = [&aBoard](cause_key aKey, int aWeight) {
    return aWeight >= aBoard.mOptions.mSuspicionWeight || aBoard.mQuarantined.contains(aKey);
  };
  for (const auto& [part, against] : CollectEvidence(aBoard, aNow)) {
    if (const int weight = SumOf(against, aBoard.mOptions.mOneEvent); isSuspected(part, weight)) {
      suspects.push_back(
        { .mKey = part,
          .mWeight = weight,
          .mPosition = against.mPosition,
          .mIsExplained = IsOneRequest(against) && LastAnswer(aBoard, part) != time_point::min() });
    }
  }
  for (const auto& [request, crashes] : aBoard.mRequests) {
    if (IsQuarantined(aBoard, { request }, aNow) ||
        (crashes.mByServer.size() == 1 && !aBoard.mQuarantined.contains(request))) {
      continue;
    }
    const request_evidence against = EvidenceAgainst(aBoard, request);
    if (isSuspected(request, against.mWeight)) {
      suspects.push_back(
        { .mKey = request,
          .mWeight = against.mFailedTrial ? against.mWeight : against.mSeparateWeight,
          .mPosition = kBehindAllParts,
          .mIsRequest = true });
    }
  }
  return suspects;
}

/// The suspect with most evidence against it, if that is enough. Of suspects with the same evidence
/// the one further back in the prompt is taken, as fewer requests share it.
std::optional<suspect> WorstOf(const std::vector<suspect>& aSuspects, const crash_board& aBoard,
                               time_point aNow)
{
  const crash_options& options = aBoard.mOptions;
  const suspect* worst = nullptr;
  for (const suspect& candidate : aSuspects) {
    const bool isOnProbation = aBoard.mQuarantined.contains(candidate.mKey);
    const auto since = aBoard.mSuspected.find(candidate.mKey);
    const bool isAsked =
      since != aBoard.mSuspected.end() && aNow - since->second >= options.mQuestionTime;
    if (!isAsked || (candidate.mIsExplained && !isOnProbation) ||
        candidate.mWeight <
          (isOnProbation ? options.mProbationWeight : options.mQuarantineWeight)) {
      continue;
    }
    if (worst == nullptr || std::pair(candidate.mWeight, candidate.mPosition) >
                              std::pair(worst->mWeight, worst->mPosition)) {
      worst = &candidate;
    }
  }
  return worst != nullptr ? std::optional(*worst) : std::nullopt;
}

/// When the last crash of a request was.
time_point NewestOf(const request_crashes& aCrashes)
{
  time_point newest{};
  for (const auto& [server, crash] : aCrashes.mByServer) {
    newest = std::max(newest, crash.mAt);
  }
  return newest;
}

/// Makes room for another request by forgetting the one with the fewest crashes, and of those the
/// one whose last crash is the oldest.
void ForgetWeakestRequest(crash_board& aBoard)
{
  const auto rank = [](const request_crashes& aCrashes) {
    return std::pair(aCrashes.mByServer.size(), NewestOf(aCrashes));
  };
  const auto weakest = std::min_element(aBoard.mRequests.begin(), aBoard.mRequests.end(),
                                        [&rank](const auto& aOne, const auto& aOther) {
                                          return rank(aOne.second) < rank(aOther.second);
                                        });
  aBoard.mRequests.erase(weakest);
}

/// Forgets the crashes of a request that was answered after them.
void ClearRequest(crash_board& aBoard, cause_key aRequest, time_point aAnswered)
{
  if (const auto found = aBoard.mRequests.find(aRequest); found != aBoard.mRequests.end()) {
    auto& crashes = found->second.mByServer;
    std::erase_if(crashes, [&](const auto& aEntry) { return aEntry.second.mAt < aAnswered; });
    if (crashes.empty()) {
      aBoard.mRequests.erase(found);
    }
  }
}

/// Adds a crash to those of its request. Adding it again changes nothing, as reports are repeated.
crash_effect AddToRequest(crash_board& aBoard, const crash_record& aRecord)
{
  const crash_options& options = aBoard.mOptions;
  if (aRecord.mRequest == cause_key()) {
    return crash_effect::NoRequest;
  }
  if (const auto entry = aBoard.mQuarantined.find(aRecord.mRequest);
      entry != aBoard.mQuarantined.end() &&
      (aRecord.mAt <= entry->second.mSince ||
       IsQuarantined(aBoard, { entry->first }, aRecord.mAt))) {
    return crash_effect::Quarantined;
  }
  if (LastAnswer(aBoard, aRecord.mRequest) > aRecord.mAt) {
    return crash_effect::Answered;
  }
  if (!aBoard.mRequests.contains(aRecord.mRequest) &&
      aBoard.mRequests.size() >= options.mMaxRequests) {
    ForgetWeakestRequest(aBoard);
  }
  const int before = EvidenceAgainst(aBoard, aRecord.mRequest).mSeparateWeight;
  auto& crashes = aBoard.mRequests[aRecord.mRequest].mByServer;
  // Servers crash as they begin to run the request, before or after the header of the answer.
  const int weight =
    aRecord.mStage == run_stage::Streaming ? options.mOtherWeight : options.mJustBegunWeight;
  const auto [known, isNew] = crashes.try_emplace(
    aRecord.mServer, request_crash{ .mSent = aRecord.mSent,
                                    .mAt = aRecord.mAt,
                                    .mWeight = weight,
                                    .mIsExplained = aBoard.mExplained.contains(aRecord.mServer) });
  if (!isNew) {
    // Several instances may have had the request at the server.
    known->second.mAt = std::min(known->second.mAt, aRecord.mAt);
    known->second.mSent = std::max(known->second.mSent, aRecord.mSent);
    known->second.mWeight = std::max(known->second.mWeight, weight);
    return crash_effect::Known;
  }
  if (crashes.size() > options.mMaxCrashesOfRequest) {
    crashes.erase(
      std::min_element(crashes.begin(), crashes.end(), [](const auto& aOne, const auto& aOther) {
        return aOne.second.mAt < aOther.second.mAt;
      }));
  }
  return EvidenceAgainst(aBoard, aRecord.mRequest).mSeparateWeight > before ? crash_effect::Counted
                                                                            : crash_effect::Merged;
}

} // namespace

time_point LastAnswer(const crash_board& aBoard, cause_key aKey)
{
  time_point last = time_point::min();
  for (const auto* const answers :
       { &aBoard.mAnswered, &aBoard.mAnsweredRequests, &aBoard.mEarlierAnsweredRequests }) {
    if (const auto found = answers->find(aKey); found != answers->end()) {
      last = std::max(last, found->second);
    }
  }
  return last;
}

crash_effect RecordCrash(crash_board& aBoard, const crash_record& aRecord)
{
  const bool isKnown = aBoard.mRecords.contains(aRecord.mId);
  if (aBoard.mRecords.size() < aBoard.mOptions.mMaxRecords) {
    aBoard.mRecords.try_emplace(aRecord.mId, aRecord);
  }
  const crash_effect effect = AddToRequest(aBoard, aRecord);
  return isKnown ? crash_effect::Known : effect;
}

void RecordAnswer(crash_board& aBoard, const std::vector<cause_key>& aKeys, time_point aAt)
{
  for (const cause_key key : aKeys) {
    time_point& answered = aBoard.mAnswered[key];
    answered = std::max(answered, aAt);
    ClearRequest(aBoard, key, aAt);
  }
}

void RecordRequestAnswer(crash_board& aBoard, cause_key aRequest, time_point aAt)
{
  if (aBoard.mAnsweredRequests.size() >= aBoard.mOptions.mMaxRequests) {
    aBoard.mEarlierAnsweredRequests = std::exchange(aBoard.mAnsweredRequests, {});
  }
  time_point& answered = aBoard.mAnsweredRequests[aRequest];
  answered = std::max(answered, aAt);
  ClearRequest(aBoard, aRequest, aAt);
}

bool IsQuarantined(const crash_board& aBoard, const std::vector<cause_key>& aKeys, time_point aNow)
{
  return std::any_of(aKeys.begin(), aKeys.end(), [&](cause_key aKey) {
    const auto found = aBoard.mQuarantined.find(aKey);
    return found != aBoard.mQuarantined.end() &&
           aNow < found->second.mSince + found->second.mTerm &&
           LastAnswer(aBoard, aKey) < found->second.mSince;
  });
}

request_evidence EvidenceAgainst(const crash_board& aBoard, cause_key aRequest)
{
  request_evidence evidence;
  const auto found = aBoard.mRequests.find(aRequest);
  if (found == aBoard.mRequests.end()) {
    return evidence;
  }
  std::vector<request_crash> crashes;
  for (const auto& [server, crash] : found->second.mByServer) {
    crashes.push_back(crash);
  }
  std::sort(
    crashes.begin(), crashes.end(),
    [](const request_crash& aOne, const request_crash& aOther) { return aOne.mAt < aOther.mAt; });
  int heaviest = 0;
  std::optional<time_point> begin;
  for (const request_crash& crash : crashes) {
    if (!begin || crash.mAt - *begin >= aBoard.mOptions.mOneEvent || crash.mSent >= *begin) {
      evidence.mFailedTrial |=
        evidence.mWeight >= aBoard.mOptions.mTrialWeight && !crash.mIsExplained;
      evidence.mSeparateWeight += heaviest;
      begin = crash.mAt;
      heaviest = 0;
    }
    heaviest = std::max(heaviest, crash.mIsExplained ? 0 : crash.mWeight);
    evidence.mWeight += crash.mWeight;
  }
  evidence.mSeparateWeight += heaviest;
  return evidence;
}

void Quarantine(crash_board& aBoard, cause_key aKey, const quarantine_entry& aEntry)
{
  aBoard.mQuarantined[aKey] = aEntry;
  aBoard.mSuspected.erase(aKey);
  const auto evidence = aBoard.mRequests.extract(aKey);
  if (evidence.empty()) {
    return;
  }
  for (const auto& [server, crash] : evidence.mapped().mByServer) {
    aBoard.mExplained[server] = aEntry.mSince;
  }
  for (auto& [request, crashes] : aBoard.mRequests) {
    for (auto& [server, crash] : crashes.mByServer) {
      crash.mIsExplained |= aBoard.mExplained.contains(server);
    }
  }
}

bool IsOnTrial(const crash_board& aBoard, cause_key aRequest, time_point aNow)
{
  if (IsQuarantined(aBoard, { aRequest }, aNow)) {
    return false;
  }
  const time_point answered = LastAnswer(aBoard, aRequest);
  if (const auto entry = aBoard.mQuarantined.find(aRequest); entry != aBoard.mQuarantined.end() &&
                                                             entry->second.mIsRequest &&
                                                             answered < entry->second.mSince) {
    return true;
  }
  if (const auto told = aBoard.mTrials.find(aRequest);
      told != aBoard.mTrials.end() && answered < told->second &&
      aNow < told->second + aBoard.mOptions.mTrialMemory) {
    return true;
  }
  return EvidenceAgainst(aBoard, aRequest).mWeight >= aBoard.mOptions.mTrialWeight;
}

std::optional<cause_key> QuarantineWorstSuspect(crash_board& aBoard, time_point aNow)
{
  const std::vector<suspect> suspects = FindSuspects(aBoard, aNow);
  std::map<cause_key, time_point> suspected;
  for (const suspect& found : suspects) {
    const auto before = aBoard.mSuspected.find(found.mKey);
    suspected[found.mKey] = before == aBoard.mSuspected.end() ? aNow : before->second;
  }
  aBoard.mSuspected = std::move(suspected);
  const auto worst = WorstOf(suspects, aBoard, aNow);
  if (!worst) {
    return std::nullopt;
  }
  const crash_options& options = aBoard.mOptions;
  const auto before = aBoard.mQuarantined.find(worst->mKey);
  const duration first = worst->mIsRequest ? options.mFirstRequestTerm : options.mFirstTerm;
  const duration term = before == aBoard.mQuarantined.end() ? first : before->second.mTerm * 2;
  Quarantine(aBoard, worst->mKey,
             { .mSince = aNow,
               .mTerm = std::min(term, options.mLongestTerm),
               .mIsRequest = worst->mIsRequest });
  return worst->mKey;
}

void RemoveExpired(crash_board& aBoard, time_point aNow)
{
  const crash_options& options = aBoard.mOptions;
  std::erase_if(aBoard.mRecords,
                [&](const auto& aEntry) { return aNow - aEntry.second.mAt > options.mMemory; });
  std::erase_if(aBoard.mRequests, [&](const auto& aEntry) {
    return aNow - NewestOf(aEntry.second) > options.mRequestMemory;
  });
  std::erase_if(aBoard.mExplained,
                [&](const auto& aEntry) { return aNow - aEntry.second > options.mRequestMemory; });
  std::erase_if(aBoard.mTrials,
                [&](const auto& aEntry) { return aNow > aEntry.second + options.mTrialMemory; });
  std::erase_if(aBoard.mWatched, [&](const auto& aEntry) { return aNow > aEntry.second; });
  std::erase_if(aBoard.mQuarantined, [&](const auto& aEntry) {
    return aNow > aEntry.second.mSince + 2 * aEntry.second.mTerm;
  });
  duration memory = options.mAnswerMemory;
  if (aBoard.mAnswered.size() > options.mMaxAnswered) {
    memory /= kOverflowDivisor;
  }
  std::erase_if(aBoard.mAnswered,
                [&](const auto& aEntry) { return aNow - aEntry.second > memory; });
}

} // namespace tamarackweir::quarantine
