#include "balancing/balancing.h"

#include <algorithm>
#include <cmath>

namespace tamarackweir::balancing {

namespace {

// Random draws before the whole pool is scanned for usable servers. Most servers in a pool are
// usable, so few draws suffice.
constexpr int kMaxDraws = 8;
// Minimum traffic share of a server or data centre at the start of its ramp.
constexpr double kMinRampShare = 0.02;

double Uniform(std::mt19937_64& aRandom)
{
  return std::uniform_real_distribution<double>(0, 1)(aRandom);
}

std::size_t RandomIndex(std::size_t aLimit, std::mt19937_64& aRandom)
{
  return std::uniform_int_distribution<std::size_t>(0, aLimit - 1)(aRandom);
}

double RampShare(const std::optional<time_point>& aRampStart, const state& aState, time_point aNow)
{
  if (!aRampStart || aNow - *aRampStart >= aState.mOptions.mRampDuration) {
    return 1;
  }
  const std::chrono::duration<double> elapsed = aNow - *aRampStart;
  const std::chrono::duration<double> ramp = aState.mOptions.mRampDuration;
  return std::clamp(elapsed / ramp, kMinRampShare, 1.0);
}

bool IsLeaving(const server& aServer)
{
  const auto& epochs = aServer.mLeavingEpochs;
  return aServer.mListedLeaving ||
         (aServer.mEpoch.Value() == 0
            ? !epochs.empty()
            : std::find(epochs.begin(), epochs.end(), aServer.mEpoch) != epochs.end());
}

// Checks the conditions for pool membership, which change rarely.
bool IsPoolMember(const state& aState, const server& aServer)
{
  const auto centre = aState.mDataCentres.find(aServer.mDataCentre);
  return aServer.mListed && centre != aState.mDataCentres.end() &&
         centre->second.mSettings.mInService && !IsLeaving(aServer);
}

void RebuildPools(state& aState)
{
  aState.mPools.clear();
  for (std::uint32_t index = 0; index < aState.mServers.size(); ++index) {
    const server& each = aState.mServers[index];
    if (!IsPoolMember(aState, each)) {
      continue;
    }
    for (const model_version& version : each.mVersions) {
      aState.mPools[version][each.mDataCentre].mServers.push_back(index);
    }
  }
  aState.mPoolsStale = false;
}

bool IsEjected(const server& aServer, time_point aNow)
{
  return aNow < aServer.mEjectedUntil;
}

// Returns whether the server is usable without a credit.
bool IsWarm(const server& aServer, time_point aNow)
{
  return !aServer.mCold && !IsEjected(aServer, aNow);
}

bool IsExcluded(const server& aServer, const request& aRequest)
{
  return std::find(aRequest.mExclude.begin(), aRequest.mExclude.end(), aServer.mId) !=
         aRequest.mExclude.end();
}

void UpdatePoolStats(const state& aState, pool& aPool, time_point aNow)
{
  if (aPool.mStatsComputed && aNow - aPool.mStatsComputedAt < aState.mOptions.mPoolStatsMaxAge) {
    return;
  }
  aPool.mStatsComputed = true;
  aPool.mStatsComputedAt = aNow;
  aPool.mWarmCount = 0;
  aPool.mColdCount = 0;
  std::int64_t load = 0;
  std::int64_t capacity = 0;
  for (const std::uint32_t index : aPool.mServers) {
    const server& each = aState.mServers[index];
    if (IsWarm(each, aNow)) {
      ++aPool.mWarmCount;
      load += EstimatedLoad(aState, each);
      capacity += each.mCapacity;
    } else if (each.mCold && !IsEjected(each, aNow)) {
      ++aPool.mColdCount;
    }
  }
  aPool.mMeanLoad =
    aPool.mWarmCount == 0 ? 0 : static_cast<double>(load) / static_cast<double>(aPool.mWarmCount);
  aPool.mLoadPerCapacity =
    capacity == 0 ? 0 : static_cast<double>(load) / static_cast<double>(capacity);
}

// A data centre that can serve the request.
struct data_centre_candidate
{
  const data_centre_state* mCentre = nullptr;
  pool* mPool = nullptr;
};

// Picks the less loaded of two random data centres among equally near candidates. The random draw
// prevents all instances, which have the same reports, from picking the same one.
data_centre_candidate PickLessLoadedDataCentre(
  const state& aState, const std::vector<data_centre_candidate>& aCandidates, time_point aNow,
  std::mt19937_64& aRandom)
{
  data_centre_candidate picked = aCandidates[RandomIndex(aCandidates.size(), aRandom)];
  for (int draw = 0; draw < kMaxDraws; ++draw) {
    const data_centre_candidate& other = aCandidates[RandomIndex(aCandidates.size(), aRandom)];
    const double share = RampShare(other.mCentre->mRampStart, aState, aNow);
    const double pickedShare = RampShare(picked.mCentre->mRampStart, aState, aNow);
    if (pickedShare < 1 && Uniform(aRandom) >= pickedShare) {
      picked = other; // A data centre that ramps up gets only its share.
      continue;
    }
    if (share >= 1 && other.mPool->mLoadPerCapacity < picked.mPool->mLoadPerCapacity) {
      picked = other;
    }
    break;
  }
  return picked;
}

// Picks the local data centre, unless it is ramping up or its load per capacity exceeds that of
// another one by more than the spill margin. The share that spills over grows with the difference:
// all instances see the same reports and would otherwise all switch at once.
std::optional<data_centre_candidate> PickDataCentre(state& aState,
                                                    std::map<data_centre_id, pool>& aPools,
                                                    time_point aNow, std::mt19937_64& aRandom)
{
  const auto localCentre = aState.mDataCentres.find(aState.mLocalDataCentre);
  std::optional<data_centre_candidate> local;
  std::vector<data_centre_candidate> sameRegion;
  std::vector<data_centre_candidate> otherRegions;
  for (auto& [id, each] : aPools) {
    if (each.mWarmCount == 0) {
      continue;
    }
    const data_centre_candidate found{ &aState.mDataCentres.at(id), &each };
    if (id == aState.mLocalDataCentre) {
      local = found;
    } else if (localCentre != aState.mDataCentres.end() &&
               localCentre->second.mSettings.mRegion == found.mCentre->mSettings.mRegion) {
      sameRegion.push_back(found);
    } else {
      otherRegions.push_back(found);
    }
  }
  if (sameRegion.empty() && otherRegions.empty()) {
    return local;
  }
  std::optional<data_centre_candidate> other;
  double otherCost = 0;
  if (!sameRegion.empty()) {
    other = PickLessLoadedDataCentre(aState, sameRegion, aNow, aRandom);
    otherCost = other->mPool->mLoadPerCapacity + aState.mOptions.mSpillMargin;
  }
  if (!otherRegions.empty()) {
    // Another region must be better by twice the margin.
    const data_centre_candidate remote =
      PickLessLoadedDataCentre(aState, otherRegions, aNow, aRandom);
    const double cost = remote.mPool->mLoadPerCapacity + 2 * aState.mOptions.mSpillMargin;
    if (!other || cost < otherCost) {
      other = remote;
      otherCost = cost;
    }
  }
  if (!local) {
    return other;
  }
  const double load = local->mPool->mLoadPerCapacity;
  const double spillShare =
    std::clamp((load - otherCost) / aState.mOptions.mSpillMargin, 0.0, 1.0) *
    RampShare(other->mCentre->mRampStart, aState, aNow);
  const double share =
    std::min(1 - spillShare, RampShare(local->mCentre->mRampStart, aState, aNow));
  return Uniform(aRandom) < share ? local : other;
}

// Draws a random usable server other than `aOther`, weighted by ramp shares.
const server* DrawServer(const state& aState, const pool& aPool, const request& aRequest,
                         const server* aOther, time_point aNow, std::mt19937_64& aRandom)
{
  const auto isUsable = [&](const server& aServer) {
    return &aServer != aOther && IsWarm(aServer, aNow) && !IsExcluded(aServer, aRequest);
  };
  for (int draw = 0; draw < kMaxDraws; ++draw) {
    const server& drawn =
      aState.mServers[aPool.mServers[RandomIndex(aPool.mServers.size(), aRandom)]];
    if (isUsable(drawn) && Uniform(aRandom) < RampShare(drawn.mRampStart, aState, aNow)) {
      return &drawn;
    }
  }
  std::vector<const server*> usableServers;
  std::vector<double> shares;
  for (const std::uint32_t index : aPool.mServers) {
    if (isUsable(aState.mServers[index])) {
      usableServers.push_back(&aState.mServers[index]);
      shares.push_back(RampShare(usableServers.back()->mRampStart, aState, aNow));
    }
  }
  return usableServers.empty() ? nullptr
                               : usableServers[std::discrete_distribution<std::size_t>(
                                   shares.begin(), shares.end())(aRandom)];
}

double Score(const state& aState, const server& aServer)
{
  return static_cast<double>(EstimatedLoad(aState, aServer) + 1) /
         static_cast<double>(aServer.mCapacity);
}

const server* ByPowerOfTwo(const state& aState, const pool& aPool, const request& aRequest,
                           time_point aNow, std::mt19937_64& aRandom)
{
  const server* first = DrawServer(aState, aPool, aRequest, nullptr, aNow, aRandom);
  if (first == nullptr) {
    return nullptr;
  }
  const server* second = DrawServer(aState, aPool, aRequest, first, aNow, aRandom);
  return second != nullptr && Score(aState, *second) < Score(aState, *first) ? second : first;
}

const server* ByLeastReported(const state& aState, const pool& aPool, const request& aRequest,
                              time_point aNow, std::mt19937_64& aRandom)
{
  const server* least = nullptr;
  // Starts the scan at a random position to break ties between equal loads.
  const std::size_t start = RandomIndex(aPool.mServers.size(), aRandom);
  for (std::size_t i = 0; i < aPool.mServers.size(); ++i) {
    const server& each = aState.mServers[aPool.mServers[(start + i) % aPool.mServers.size()]];
    if (IsWarm(each, aNow) && !IsExcluded(each, aRequest) &&
        (least == nullptr ||
         each.mReportedLoad * least->mCapacity < least->mReportedLoad * each.mCapacity)) {
      least = &each;
    }
  }
  return least;
}

const server* ByRoundRobin(const state& aState, pool& aPool, const request& aRequest,
                           time_point aNow)
{
  for (std::size_t i = 0; i < aPool.mServers.size(); ++i) {
    const server& each =
      aState.mServers[aPool.mServers[aPool.mRoundRobinNext++ % aPool.mServers.size()]];
    if (IsWarm(each, aNow) && !IsExcluded(each, aRequest)) {
      return &each;
    }
  }
  return nullptr;
}

const server* ByPolicy(const state& aState, pool& aPool, const request& aRequest, time_point aNow,
                       std::mt19937_64& aRandom)
{
  switch (aState.mOptions.mPolicy) {
    case policy::PowerOfTwo:
      return ByPowerOfTwo(aState, aPool, aRequest, aNow, aRandom);
    case policy::LeastReported:
      return ByLeastReported(aState, aPool, aRequest, aNow, aRandom);
    case policy::Random:
      return DrawServer(aState, aPool, aRequest, nullptr, aNow, aRandom);
    case policy::RoundRobin:
      return ByRoundRobin(aState, aPool, aRequest, aNow);
  }
  return nullptr;
}

// Returns the least loaded server that holds the longest known prefix, skipping servers whose load
// exceeds the affinity bound.
const server* ByPrefix(const state& aState, const pool& aPool, const data_centre_id& aDataCentre,
                       const request& aRequest, time_point aNow, std::mt19937_64& aRandom)
{
  const double bound = std::ceil(aState.mOptions.mAffinityBound * aPool.mMeanLoad);
  for (const std::uint64_t prefix : aRequest.mPrefixes) {
    const auto holders = aState.mPrefixHolders.find(prefix);
    if (holders == aState.mPrefixHolders.end()) {
      continue;
    }
    const server* best = nullptr;
    for (const std::uint32_t index : holders->second) {
      const server& each = aState.mServers[index];
      if (each.mDataCentre == aDataCentre && IsPoolMember(aState, each) && IsWarm(each, aNow) &&
          !IsExcluded(each, aRequest) &&
          std::find(each.mVersions.begin(), each.mVersions.end(), aRequest.mVersion) !=
            each.mVersions.end() &&
          static_cast<double>(EstimatedLoad(aState, each)) <= bound &&
          (best == nullptr || Score(aState, each) < Score(aState, *best))) {
        best = &each;
      }
    }
    if (best != nullptr && Uniform(aRandom) < RampShare(best->mRampStart, aState, aNow)) {
      return best;
    }
  }
  return nullptr;
}

// Picks a random cold server (or ejected server, as a last resort); prefers local ones.
const server* PickColdOrEjected(const state& aState, const std::map<data_centre_id, pool>& aPools,
                                const request& aRequest, bool aCold, time_point aNow,
                                std::mt19937_64& aRandom)
{
  std::vector<const server*> local;
  std::vector<const server*> remote;
  for (const auto& [id, each] : aPools) {
    for (const std::uint32_t index : each.mServers) {
      const server& found = aState.mServers[index];
      if (found.mCold == aCold && IsEjected(found, aNow) != aCold && !IsExcluded(found, aRequest)) {
        (id == aState.mLocalDataCentre ? local : remote).push_back(&found);
      }
    }
  }
  const auto& from = local.empty() ? remote : local;
  return from.empty() ? nullptr : from[RandomIndex(from.size(), aRandom)];
}

choice MakeChoice(const server& aServer, reason aReason)
{
  return { aServer.mId, aServer.mDataCentre, aServer.mCold, aReason };
}

// Sends cold servers a share of the requests by their number, so that they warm up. Credits limit
// the rate.
bool ShouldTryCold(const std::map<data_centre_id, pool>& aPools, std::mt19937_64& aRandom)
{
  std::size_t cold = 0;
  std::size_t warm = 0;
  for (const auto& [id, each] : aPools) {
    cold += each.mColdCount;
    warm += each.mWarmCount;
  }
  return cold > 0 &&
         Uniform(aRandom) * static_cast<double>(cold + warm) < static_cast<double>(cold);
}

} // namespace

std::optional<choice> Choose(state& aState, const request& aRequest, time_point aNow,
                             std::mt19937_64& aRandom)
{
  if (aState.mPoolsStale) {
    RebuildPools(aState);
  }
  const auto found = aState.mPools.find(aRequest.mVersion);
  if (found == aState.mPools.end()) {
    return std::nullopt;
  }
  auto& pools = found->second;
  for (auto& [id, each] : pools) {
    UpdatePoolStats(aState, each, aNow);
  }
  if (aRequest.mAllowCold && ShouldTryCold(pools, aRandom)) {
    if (const server* cold = PickColdOrEjected(aState, pools, aRequest, true, aNow, aRandom);
        cold != nullptr) {
      return MakeChoice(*cold, reason::Load);
    }
  }
  if (const auto centre = PickDataCentre(aState, pools, aNow, aRandom)) {
    if (const server* holder =
          ByPrefix(aState, *centre->mPool, centre->mCentre->mSettings.mId, aRequest, aNow, aRandom);
        holder != nullptr) {
      return MakeChoice(*holder, reason::Prefix);
    }
    if (const server* picked = ByPolicy(aState, *centre->mPool, aRequest, aNow, aRandom);
        picked != nullptr) {
      return MakeChoice(*picked, reason::Load);
    }
  }
  // The picked data centre has no usable server left, for example because all were already tried.
  for (auto& [id, each] : pools) {
    if (const server* picked = ByPolicy(aState, each, aRequest, aNow, aRandom); picked != nullptr) {
      return MakeChoice(*picked, reason::Load);
    }
  }
  if (aRequest.mAllowCold) {
    if (const server* cold = PickColdOrEjected(aState, pools, aRequest, true, aNow, aRandom);
        cold != nullptr) {
      return MakeChoice(*cold, reason::Load);
    }
  }
  if (const server* ejected = PickColdOrEjected(aState, pools, aRequest, false, aNow, aRandom);
      ejected != nullptr) {
    return MakeChoice(*ejected, reason::LastResort);
  }
  return std::nullopt;
}

bool IsEligible(const state& aState, const server_id& aServer, const model_version& aVersion,
                time_point aNow)
{
  const auto found = aState.mServerIndices.find(aServer);
  if (found == aState.mServerIndices.end()) {
    return false;
  }
  const server& each = aState.mServers[found->second];
  return IsPoolMember(aState, each) && !IsEjected(each, aNow) &&
         std::find(each.mVersions.begin(), each.mVersions.end(), aVersion) != each.mVersions.end();
}

} // namespace tamarackweir::balancing
