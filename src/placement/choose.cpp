#include "placement/choose.h"

#include "backends/evidence.h"
#include "base/digest.h"
#include "placement/server_room.h"

#include <algorithm>
#include <array>
#include <limits>

namespace tamarackweir::placement {

namespace {

std::uint64_t Mix(std::uint64_t aLeft, std::uint64_t aRight)
{
  // The finaliser of SplitMix64 over both values.
  std::uint64_t value = aLeft ^ (aRight + 0x9e3779b97f4a7c15ULL + (aLeft << 6U) + (aLeft >> 2U));
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

std::uint64_t PrefillKey(std::uint64_t aServer, std::uint64_t aModel, std::uint64_t aPart)
{
  return Mix(Mix(aServer, aModel), aPart);
}

/// Id of the last part that other requests share; 0 without a prompt.
std::uint64_t SharedKey(const demand& aDemand)
{
  if (aDemand.mParts.empty()) {
    return 0;
  }
  const std::size_t last = aDemand.mParts.size() > 1 ? aDemand.mParts.size() - 2 : 0;
  return aDemand.mParts[last].mId;
}

/// Tokens that the server has to prefill: all from the first part that is not in its cache.
/// \param aIsHolder the server is assumed to cache the shared parts
std::int64_t TokensToPrefill(const demand& aDemand, std::uint64_t aServer, bool aIsHolder,
                             const prefix_caches& aCaches)
{
  std::int64_t tokens = 0;
  bool isHeld = true;
  for (const prompt_part& part : aDemand.mParts) {
    const bool isShared = &part != &aDemand.mParts.back();
    if (isHeld && !(aIsHolder && isShared)) {
      isHeld = aCaches.mPrefilledAt.contains(PrefillKey(aServer, aDemand.mModelHash, part.mId));
    }
    if (!isHeld) {
      tokens += part.mTokens;
    }
  }
  return tokens;
}

struct scored_server
{
  backends::server_pointer mServer;
  double mWaitMs = 0;
  double mCostMs = 0;
  std::int64_t mPrefillTokens = 0;
  std::uint64_t mServerHash = 0;
};

/// Engine time that the prompt's prefill takes at the server.
double PrefillWorkMs(const demand& aDemand, const scored_server& aCandidate)
{
  return static_cast<double>(aCandidate.mPrefillTokens) * aDemand.mPrefill.mMsPerToken;
}

/// Engine time to prefill all parts that other requests share.
double SharedPrefillMs(const demand& aDemand)
{
  std::int64_t tokens = 0;
  for (std::size_t i = 0; i + 1 < aDemand.mParts.size(); ++i) {
    tokens += aDemand.mParts[i].mTokens;
  }
  return static_cast<double>(tokens) * aDemand.mPrefill.mMsPerToken;
}

constexpr std::size_t kMaxHolders = choice_options{}.mMaxHolders;

/// A candidate and its rendezvous weight for the shared parts.
struct ranked_candidate
{
  std::uint64_t mWeight = 0;
  std::size_t mCandidate = 0;
};

void InsertByWeight(std::array<ranked_candidate, kMaxHolders>& aHolders,
                    ranked_candidate aCandidate)
{
  for (ranked_candidate& holder : aHolders) {
    if (aCandidate.mWeight >= holder.mWeight) {
      std::swap(holder, aCandidate);
    }
  }
}

/// Preference class: usable servers first, then missing, full and cold ones, then suspects.
int RankOf(const backends::backend_server& aServer, time_point aNow)
{
  if (backends::IsSuspect(aServer, aNow)) {
    return 2;
  }
  return backends::IsCold(aServer, aNow) || aServer.mMissingSince || IsFull(aServer, aNow) ? 1 : 0;
}

/// Expected delay at a server, without the prefill of the request's own prompt.
double WaitMs(const backends::backend_server& aServer, const demand& aDemand,
              const mean_load& aMean, const choice_options& aOptions, time_point aNow)
{
  const expected_load load = LoadAt(aServer, aMean, aNow);
  double wait = load.mRequests * aDemand.mTurnMs;
  if (!aDemand.mParts.empty()) {
    wait += load.mPrefillMs;
  }
  wait += std::chrono::duration<double, std::milli>(backends::DelayOf(aServer, aNow)).count();
  return wait +
         (aServer.mAnnounced.mDataCentre == aDemand.mDataCentre ? 0 : aOptions.mOtherDataCentreMs);
}

/// Cost of the server's recent failures, and of failed connects in its data centre.
double PenaltyMs(const backends::backend_server& aServer, const demand& aDemand,
                 const choice_options& aOptions, time_point aNow)
{
  double penalty =
    std::max(0.0, backends::FailureShare(aServer, aNow) - aOptions.mToleratedFailures) *
    aOptions.mFailurePenaltyMs;
  if (aDemand.mUnreached != nullptr) {
    penalty +=
      aOptions.mUnreachedPenaltyMs *
      static_cast<double>(std::count(aDemand.mUnreached->begin(), aDemand.mUnreached->end(),
                                     aServer.mAnnounced.mDataCentre));
  }
  return penalty;
}

/// How many of the servers first in rendezvous order are assumed to cache the part. All instances
/// know the same queues, so while one is long they all use the next server, which then caches it
/// too.
std::size_t CountHolders(const std::vector<scored_server>& aCandidates, const demand& aDemand,
                         const std::array<ranked_candidate, kMaxHolders>& aHolders,
                         const choice_options& aOptions, time_point aNow)
{
  double sum = 0;
  for (const scored_server& candidate : aCandidates) {
    sum += candidate.mCostMs;
  }
  // With all servers busy, another prefill of the part would only add load.
  const double longWait =
    std::max(SharedPrefillMs(aDemand),
             aOptions.mLongWaitFactor * sum / static_cast<double>(aCandidates.size()));
  std::size_t count = 1;
  const auto isBusy = [&](const scored_server& aCandidate) {
    return aCandidate.mCostMs > longWait || RankOf(*aCandidate.mServer, aNow) > 0;
  };
  while (count < std::min({ aOptions.mMaxHolders, kMaxHolders, aCandidates.size() }) &&
         isBusy(aCandidates[aHolders[count - 1].mCandidate])) {
    ++count;
  }
  return count;
}

/// Moves a candidate to the front that is drawn among those of the front's preference class which
/// have no more to prefill: in proportion to the room left there when what others send until the
/// next report has filled the least loaded ones.
/// \param aCandidates by ascending preference class and cost
void DrawByRoom(std::vector<scored_server>& aCandidates, const mean_load& aMean,
                std::mt19937_64& aRandom, time_point aNow)
{
  const std::int64_t tokens = aCandidates.front().mPrefillTokens;
  const int rank = RankOf(*aCandidates.front().mServer, aNow);
  std::vector<double> costs;
  std::vector<std::size_t> drawn;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (aCandidates[i].mPrefillTokens <= tokens && RankOf(*aCandidates[i].mServer, aNow) == rank) {
      costs.push_back(aCandidates[i].mCostMs);
      drawn.push_back(i);
    }
  }
  const double arrivingMs = aMean.mArrivingMs * static_cast<double>(costs.size());
  std::uniform_real_distribution<double> point(0.0, 1.0);
  std::swap(aCandidates.front(),
            aCandidates[drawn[IndexByRoom(costs, arrivingMs, point(aRandom))]]);
}

void RemoveOlderHalf(prefix_caches& aCaches)
{
  std::vector<time_point> times;
  times.reserve(aCaches.mPrefilledAt.size());
  for (const auto& [key, at] : aCaches.mPrefilledAt) {
    times.push_back(at);
  }
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  std::erase_if(aCaches.mPrefilledAt,
                [median = *middle](const auto& aEntry) { return aEntry.second <= median; });
}

} // namespace

service_load LoadOf(const backends::fleet& aFleet, const demand& aDemand,
                    const choice_options& aOptions, time_point aNow)
{
  constexpr std::size_t kLeastShare = 10; // a tenth
  const mean_load mean = MeanLoad(aFleet, aDemand, aNow);
  std::vector<double> waits;
  std::size_t busy = 0;
  for (const auto& server : backends::ServersOf(aFleet, aDemand.mService)) {
    const bool isFull = IsFull(*server, aNow);
    if (server->mAnnounced.mIsLeaving || !backends::TakesRequests(*server, aNow) ||
        !aDemand.mIsAllowed(*server) || (RankOf(*server, aNow) > 0 && !isFull)) {
      continue;
    }
    waits.push_back(WaitMs(*server, aDemand, mean, aOptions, aNow));
    busy += isFull || waits.back() > aDemand.mTurnMs ? 1 : 0;
  }
  if (waits.empty()) {
    return {};
  }
  std::sort(waits.begin(), waits.end());
  return { .mServers = waits.size(),
           .mMedianWaitMs = waits[waits.size() / 2],
           .mLeastWaitMs = waits[waits.size() / kLeastShare],
           .mBusyShare = static_cast<double>(busy) / static_cast<double>(waits.size()) };
}

exclusion ExclusionOf(const backends::backend_server& aServer, const demand& aDemand,
                      time_point aNow)
{
  if (aServer.mAnnounced.mIsLeaving || aServer.mSaysItLeaves) {
    return exclusion::Leaving;
  }
  if (!aDemand.mIsAllowed(aServer)) {
    return exclusion::NotAllowed;
  }
  if (!backends::TakesRequests(aServer, aNow)) {
    return exclusion::Closed;
  }
  const bool wasTried = aDemand.mTriedServers != nullptr &&
                        std::find(aDemand.mTriedServers->begin(), aDemand.mTriedServers->end(),
                                  aServer.mAnnounced.mId) != aDemand.mTriedServers->end();
  return wasTried ? exclusion::Tried : exclusion::None;
}

choice Choose(const backends::fleet& aFleet, const demand& aDemand, const prefix_caches& aCaches,
              const choice_options& aOptions, std::mt19937_64& aRandom, time_point aNow)
{
  choice result;
  const std::uint64_t shared = Mix(SharedKey(aDemand), aDemand.mModelHash);
  std::vector<scored_server> candidates;
  std::array<ranked_candidate, kMaxHolders> holders; // by descending weight
  bool wasTried = false;
  const mean_load mean = aOptions.mSpreadsLoad ? MeanLoad(aFleet, aDemand, aNow) : mean_load{};
  for (const auto& server : backends::ServersOf(aFleet, aDemand.mService)) {
    if (const exclusion excluded = ExclusionOf(*server, aDemand, aNow);
        excluded != exclusion::None) {
      if (excluded == exclusion::Closed) {
        result.mOpensAt =
          std::min(result.mOpensAt.value_or(time_point::max()), server->mClosedUntil);
      }
      wasTried = wasTried || excluded == exclusion::Tried;
      continue;
    }
    const std::uint64_t hash = StableHash(server->mAnnounced.mId.Value());
    const std::uint64_t weight = Mix(shared, hash);
    InsertByWeight(holders, { .mWeight = weight, .mCandidate = candidates.size() });
    const double waitMs = WaitMs(*server, aDemand, mean, aOptions, aNow);
    candidates.push_back(
      scored_server{ .mServer = server,
                     .mWaitMs = waitMs,
                     .mCostMs = waitMs + PenaltyMs(*server, aDemand, aOptions, aNow),
                     .mServerHash = hash });
  }
  result.mCandidateCount = candidates.size();
  if (candidates.empty()) {
    if (wasTried) {
      result.mOpensAt.reset();
    }
    result.mReason = wasTried          ? no_choice::AllTried
                     : result.mOpensAt ? no_choice::Closed
                                       : no_choice::NoServers;
    return result;
  }

  const std::size_t holderCount = CountHolders(candidates, aDemand, holders, aOptions, aNow);
  const auto isHolder = [&holders, holderCount](std::size_t aCandidate) {
    return std::any_of(
      holders.begin(), holders.begin() + static_cast<std::ptrdiff_t>(holderCount),
      [aCandidate](const ranked_candidate& aHolder) { return aHolder.mCandidate == aCandidate; });
  };
  std::uniform_real_distribution<double> jitter(0.0, aDemand.mTurnMs / 2);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    scored_server& candidate = candidates[i];
    candidate.mCostMs += jitter(aRandom);
    if (!aDemand.mParts.empty()) {
      candidate.mPrefillTokens =
        TokensToPrefill(aDemand, candidate.mServerHash, isHolder(i), aCaches);
      candidate.mCostMs += PrefillWorkMs(aDemand, candidate) * aOptions.mPrefillWeight;
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [aNow](const scored_server& aLeft, const scored_server& aRight) {
              const int leftRank = RankOf(*aLeft.mServer, aNow);
              const int rightRank = RankOf(*aRight.mServer, aNow);
              return leftRank != rightRank ? leftRank < rightRank : aLeft.mCostMs < aRight.mCostMs;
            });
  DrawByRoom(candidates, mean, aRandom, aNow);
  for (const scored_server& candidate : candidates) {
    if (backends::IsCold(*candidate.mServer, aNow) &&
        !aDemand.mAcquireColdSlot(*candidate.mServer)) {
      continue;
    }
    result.mServer = candidate.mServer;
    result.mCostMs = candidate.mCostMs;
    result.mWaitMs = candidate.mWaitMs;
    result.mPrefillTokens = candidate.mPrefillTokens;
    result.mPrefillMs = PrefillWorkMs(aDemand, candidate);
    result.mIsUnobstructed = backends::PrefillMsAt(*candidate.mServer, aNow) <= 0;
    return result;
  }
  result.mReason = no_choice::ColdOnly;
  return result;
}

void RecordPrefill(prefix_caches& aCaches, const server_id& aServer, const demand& aDemand,
                   time_point aNow)
{
  const std::uint64_t server = StableHash(aServer.Value());
  for (const prompt_part& part : aDemand.mParts) {
    aCaches.mPrefilledAt[PrefillKey(server, aDemand.mModelHash, part.mId)] = aNow;
  }
  if (aCaches.mPrefilledAt.size() > aCaches.mMaxEntries) {
    RemoveOlderHalf(aCaches);
  }
}

} // namespace tamarackweir::placement
