#include "membership/internal.h"

#include "base/digest.h"

#include <algorithm>
#include <bit>

namespace tamarackweir::membership {

namespace {

// Instances learn and remove a rumour at slightly different times. The digest excludes rumours that
// will be removed within this time, so that the difference causes no repairs.
constexpr duration kDigestMargin = 60s;
// Repairs may raise the number of sends of a rumour to this multiple of `SendsPerRumour`.
constexpr std::uint32_t kRepairFactor = 3;
// Evidence leaves this share of the burst to urgent rumours.
constexpr double kUrgentReserveShare = 0.25;

std::uint32_t HashOf(const rumour& aRumour)
{
  const std::string text = std::to_string(static_cast<int>(aRumour.mKey.mKind)) + ' ' +
                           std::to_string(aRumour.mKey.mEpoch.Value()) + ' ' +
                           std::to_string(aRumour.mVersion) + ' ' + aRumour.mKey.mSubject + ' ' +
                           aRumour.mPayload;
  return static_cast<std::uint32_t>(StableHash(text));
}

bool IsUrgent(const rumour& aRumour)
{
  return aRumour.mKey.mKind != rumour_kind::Evidence;
}

void EvictIfFull(state& aState)
{
  if (aState.mRumours.size() < aState.mOptions.mMaxStoredRumours) {
    return;
  }
  const auto oldest = std::min_element(
    aState.mRumours.begin(), aState.mRumours.end(), [](const auto& aLeft, const auto& aRight) {
      const bool leftUrgent = IsUrgent(aLeft.second.mRumour);
      const bool rightUrgent = IsUrgent(aRight.second.mRumour);
      return leftUrgent != rightUrgent ? rightUrgent
                                       : aLeft.second.mLearnedAt < aRight.second.mLearnedAt;
    });
  aState.mRumours.erase(oldest);
}

} // namespace

std::uint32_t SendsPerRumour(std::size_t aInstances)
{
  // Twice the rounds that an epidemic with fan-out 2 needs: fleet_test.cpp checks that a rumour
  // then reaches all instances at 20% loss.
  return 2 * static_cast<std::uint32_t>(std::bit_width(aInstances)) + 2;
}

namespace internal {

duration AgeOf(const stored_rumour& aHeld, time_point aNow)
{
  return aHeld.mRumour.mAge + (aNow - aHeld.mLearnedAt);
}

bool Merge(state& aState, const rumour& aRumour, time_point aNow)
{
  if (aRumour.mAge >= aState.mOptions.mRetention ||
      aRumour.mPayload.size() > aState.mOptions.mMaxPayload) {
    return false;
  }
  const auto found = aState.mRumours.find(aRumour.mKey);
  if (found != aState.mRumours.end()) {
    stored_rumour& held = found->second;
    if (!Supersedes(aRumour, held.mRumour)) {
      if (!Supersedes(held.mRumour, aRumour) && aRumour.mAge > AgeOf(held, aNow)) {
        held.mRumour.mAge = aRumour.mAge;
        held.mLearnedAt = aNow;
      }
      return false;
    }
    held = { aRumour, aNow, HashOf(aRumour), 0 };
    return true;
  }
  EvictIfFull(aState);
  aState.mRumours.emplace(aRumour.mKey, stored_rumour{ aRumour, aNow, HashOf(aRumour), 0 });
  return true;
}

std::uint32_t Digest(const state& aState, time_point aNow)
{
  std::uint32_t digest = 0;
  for (const auto& [key, held] : aState.mRumours) {
    if (IsUrgent(held.mRumour) && AgeOf(held, aNow) < aState.mOptions.mRetention - kDigestMargin) {
      digest ^= held.mHash;
    }
  }
  return digest;
}

void Expire(state& aState, time_point aNow)
{
  std::erase_if(aState.mRumours, [&aState, aNow](const auto& aEntry) {
    return AgeOf(aEntry.second, aNow) >= aState.mOptions.mRetention;
  });
}

void AddRumours(state& aState, gossip_message& aMessage, bool aRepair, time_point aNow)
{
  const options& settings = aState.mOptions;
  const std::chrono::duration<double> elapsed = aNow - aState.mTokensUpdatedAt;
  aState.mTokensUpdatedAt = aNow;
  aState.mRumourTokens =
    std::min(settings.mRumourBurst, aState.mRumourTokens + elapsed.count() * settings.mRumourRate);

  const std::uint32_t sends = SendsPerRumour(aState.mMembers.size() + 1);
  std::vector<stored_rumour*> candidates;
  for (auto& [key, held] : aState.mRumours) {
    const bool repairable =
      IsUrgent(held.mRumour) && AgeOf(held, aNow) < settings.mRetention - kDigestMargin;
    if (held.mSendCount < (aRepair && repairable ? kRepairFactor * sends : sends)) {
      candidates.push_back(&held);
    }
  }
  const std::size_t count = std::min(candidates.size(), settings.mMaxRumours);
  std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(), [](const stored_rumour* aLeft, const stored_rumour* aRight) {
                      const bool leftUrgent = IsUrgent(aLeft->mRumour);
                      const bool rightUrgent = IsUrgent(aRight->mRumour);
                      return leftUrgent != rightUrgent ? leftUrgent
                                                       : aLeft->mSendCount < aRight->mSendCount;
                    });
  std::size_t bytesLeft = settings.mMaxRumourBytes;
  for (std::size_t i = 0; i < count; ++i) {
    stored_rumour& held = *candidates[i];
    rumour sent = held.mRumour;
    sent.mAge = AgeOf(held, aNow);
    const std::size_t bytes = RumourBytes(sent);
    const double reserve = IsUrgent(sent) ? 0 : kUrgentReserveShare * settings.mRumourBurst;
    if (bytes > bytesLeft || aState.mRumourTokens < reserve + static_cast<double>(bytes)) {
      break;
    }
    bytesLeft -= bytes;
    aState.mRumourTokens -= static_cast<double>(bytes);
    ++held.mSendCount;
    aMessage.mRumours.push_back(std::move(sent));
  }
}

} // namespace internal

} // namespace tamarackweir::membership
