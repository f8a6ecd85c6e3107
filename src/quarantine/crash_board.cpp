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
  const auto add = [&](const suspect& aSuspect) {
    if (aSuspect.mWeight >= aBoard.mOptions.mSuspicionWeight ||
        aBoard.mQuarantined.contains(aSuspect.mKey)) {
      suspects.push_back(aSuspect);
    }
  };
  for (const auto& [part, against] : CollectEvidence(aBoard, aNow)) {
    add({ .mKey = part,
          .mWeight = SumOf(against, aBoard.mOptions.mOneEvent),
          .mPosition = against.mPosition,
          .mIsExplained = IsOneRequest(against) && LastAnswer(aBoard, part) != time_point::min() });
  }
  for (const auto& [request, crashes] : aBoard.mRequests) {
    if (IsQuarantined(aBoard, { request }, aNow)) {
      continue;
    }
    add({ .mKey = request,
          .mWeight = crashes.mWeight,
          .mPosition = kBehindAllParts,
          .mIsRequest = true });
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

/// Makes room for another request by forgetting the one whose last crash is the oldest.
void ForgetOldestRequest(crash_board& aBoard)
{
  const auto oldest = std::min_element(aBoard.mRequests.begin(), aBoard.mRequests.end(),
                                       [](const auto& aOne, const auto& aOther) {
                                         return aOne.second.mNewestAt < aOther.second.mNewestAt;
                                       });
  aBoard.mRequests.erase(oldest);
}

/// Forgets the crashes of a request that was answered after them.
void ClearRequest(crash_board& aBoard, cause_key aRequest, time_point aAnswered)
{
  if (const auto crashes = aBoard.mRequests.find(aRequest);
      crashes != aBoard.mRequests.end() && crashes->second.mNewestAt < aAnswered) {
    aBoard.mRequests.erase(crashes);
  }
}

/// Adds a crash to those of its request. Adding it again changes nothing, as reports are repeated.
crash_effect AddToRequest(crash_board& aBoard, const crash_record& aRecord)
{
  const crash_options& options = aBoard.mOptions;
  const auto entry = aBoard.mQuarantined.find(aRecord.mRequest);
  const bool isExplained =
    entry != aBoard.mQuarantined.end() &&
    (aRecord.mAt <= entry->second.mSince || IsQuarantined(aBoard, { entry->first }, aRecord.mAt));
  if (aRecord.mRequest == cause_key()) {
    return crash_effect::NoRequest;
  }
  if (isExplained) {
    return crash_effect::Quarantined;
  }
  if (LastAnswer(aBoard, aRecord.mRequest) > aRecord.mAt) {
    return crash_effect::Answered;
  }
  if (!aBoard.mRequests.contains(aRecord.mRequest) &&
      aBoard.mRequests.size() >= options.mMaxRequests) {
    ForgetOldestRequest(aBoard);
  }
  request_crashes& crashes = aBoard.mRequests[aRecord.mRequest];
  // Servers crash as they begin to run the request, before or after the header of the answer.
  const int weight =
    aRecord.mStage == run_stage::Streaming ? options.mOtherWeight : options.mJustBegunWeight;
  const duration apart =
    std::max(aRecord.mAt, crashes.mNewestAt) - std::min(aRecord.mAt, crashes.mNewestAt);
  if (crashes.mWeight > 0 && apart < options.mOneEvent) {
    crashes.mWeight += std::max(0, weight - crashes.mNewestWeight);
    crashes.mNewestWeight = std::max(weight, crashes.mNewestWeight);
    return crash_effect::Merged;
  }
  if (crashes.mWeight == 0 || aRecord.mAt > crashes.mNewestAt) {
    crashes.mWeight += weight;
    crashes.mNewestWeight = weight;
    crashes.mNewestAt = aRecord.mAt;
    return crash_effect::Counted;
  }
  return crash_effect::PassedOver;
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
  aBoard.mQuarantined[worst->mKey] = { .mSince = aNow,
                                       .mTerm = std::min(term, options.mLongestTerm),
                                       .mIsRequest = worst->mIsRequest };
  aBoard.mSuspected.erase(worst->mKey);
  aBoard.mRequests.erase(worst->mKey);
  return worst->mKey;
}

void RemoveExpired(crash_board& aBoard, time_point aNow)
{
  const crash_options& options = aBoard.mOptions;
  std::erase_if(aBoard.mRecords,
                [&](const auto& aEntry) { return aNow - aEntry.second.mAt > options.mMemory; });
  std::erase_if(aBoard.mRequests, [&](const auto& aEntry) {
    return aNow - aEntry.second.mNewestAt > options.mRequestMemory;
  });
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
