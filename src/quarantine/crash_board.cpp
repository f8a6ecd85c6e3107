#include "quarantine/crash_board.h"

#include <algorithm>

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
  std::size_t mPosition = 0;                      ///< in the prompt, the furthest back
};

time_point LastAnswer(const crash_board& aBoard, cause_key aPart)
{
  const auto found = aBoard.mAnswered.find(aPart);
  return found == aBoard.mAnswered.end() ? time_point::min() : found->second;
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
    const int weight =
      record.mStage == run_stage::JustBegun ? options.mJustBegunWeight : options.mOtherWeight;
    for (const std::size_t position : SuspectsOf(aBoard, record)) {
      evidence& against = all[record.mParts[position]];
      against.mPosition = std::max(against.mPosition, position);
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

/// Sums the evidence; of crashes with one cause only the heaviest counts.
int WeightOf(const evidence& aEvidence, duration aOneEvent)
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

/// A suspected part with the evidence against it.
struct suspect
{
  cause_key mPart;
  int mWeight = 0;
  std::size_t mPosition = 0;
};

std::vector<suspect> FindSuspects(const crash_board& aBoard, time_point aNow)
{
  std::vector<suspect> suspects;
  for (const auto& [part, against] : CollectEvidence(aBoard, aNow)) {
    const int weight = WeightOf(against, aBoard.mOptions.mOneEvent);
    if (weight >= aBoard.mOptions.mSuspicionWeight || aBoard.mQuarantined.contains(part)) {
      suspects.push_back({ .mPart = part, .mWeight = weight, .mPosition = against.mPosition });
    }
  }
  return suspects;
}

/// The part with most evidence against it, if that is enough. Of parts with the same evidence the
/// one further back in the prompt is taken, as fewer requests share it.
std::optional<cause_key> WorstOf(const std::vector<suspect>& aSuspects, const crash_board& aBoard,
                                time_point aNow)
{
  const crash_options& options = aBoard.mOptions;
  const suspect* worst = nullptr;
  for (const suspect& candidate : aSuspects) {
    const bool isOnProbation = aBoard.mQuarantined.contains(candidate.mPart);
    const auto since = aBoard.mSuspected.find(candidate.mPart);
    const bool isAsked =
      since != aBoard.mSuspected.end() && aNow - since->second >= options.mQuestionTime;
    if (!isAsked || candidate.mWeight <
                      (isOnProbation ? options.mProbationWeight : options.mQuarantineWeight)) {
      continue;
    }
    if (worst == nullptr || std::pair(candidate.mWeight, candidate.mPosition) >
                              std::pair(worst->mWeight, worst->mPosition)) {
      worst = &candidate;
    }
  }
  return worst != nullptr ? std::optional(worst->mPart) : std::nullopt;
}

} // namespace

void RecordCrash(crash_board& aBoard, const crash_record& aRecord)
{
  if (aBoard.mRecords.size() < aBoard.mOptions.mMaxRecords) {
    aBoard.mRecords.try_emplace(aRecord.mId, aRecord);
  }
}

void RecordAnswer(crash_board& aBoard, const std::vector<cause_key>& aParts, time_point aAt)
{
  for (const cause_key part : aParts) {
    time_point& answered = aBoard.mAnswered[part];
    answered = std::max(answered, aAt);
  }
}

bool IsQuarantined(const crash_board& aBoard, const std::vector<cause_key>& aParts, time_point aNow)
{
  return std::any_of(aParts.begin(), aParts.end(), [&](cause_key aPart) {
    const auto found = aBoard.mQuarantined.find(aPart);
    return found != aBoard.mQuarantined.end() &&
           aNow < found->second.mSince + found->second.mTerm &&
           LastAnswer(aBoard, aPart) < found->second.mSince;
  });
}

std::optional<cause_key> QuarantineWorstSuspect(crash_board& aBoard, time_point aNow)
{
  const std::vector<suspect> suspects = FindSuspects(aBoard, aNow);
  std::map<cause_key, time_point> suspected;
  for (const suspect& found : suspects) {
    const auto before = aBoard.mSuspected.find(found.mPart);
    suspected[found.mPart] = before == aBoard.mSuspected.end() ? aNow : before->second;
  }
  aBoard.mSuspected = std::move(suspected);
  const auto worst = WorstOf(suspects, aBoard, aNow);
  if (worst) {
    const auto before = aBoard.mQuarantined.find(*worst);
    const duration term =
      before == aBoard.mQuarantined.end() ? aBoard.mOptions.mFirstTerm : before->second.mTerm * 2;
    aBoard.mQuarantined[*worst] = { .mSince = aNow,
                                    .mTerm = std::min(term, aBoard.mOptions.mLongestTerm) };
    aBoard.mSuspected.erase(*worst);
  }
  return worst;
}

void RemoveExpired(crash_board& aBoard, time_point aNow)
{
  const crash_options& options = aBoard.mOptions;
  std::erase_if(aBoard.mRecords,
                [&](const auto& aEntry) { return aNow - aEntry.second.mAt > options.mMemory; });
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
