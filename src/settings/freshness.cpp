#include "settings/freshness.h"

#include <algorithm>

namespace tamarackweir::settings {

namespace {

bool IsWithin(time_point aWhen, time_point aNow, duration aLimit)
{
  return aNow - aWhen <= aLimit;
}

bool IsFailedWithin(const std::optional<store_read>& aRead, time_point aNow, duration aLimit)
{
  return aRead && !aRead->mReachable && IsWithin(aRead->mSentAt, aNow, aLimit);
}

/// Whether a majority of the peers probed lately answered that they can't reach the store, and
/// none has reached it since the own confirmation. A success before that says nothing about now:
/// in a large fleet most peers read the store less than once in 4 s. Without any peer it does not
/// hold: an instance alone can't tell an outage of the store from its own isolation.
bool IsStoreDownForPeers(const freshness_state& aState, std::optional<time_point> aConfirmed,
                         time_point aNow, duration aWindow, duration aLimit)
{
  std::size_t probed = 0;
  std::size_t failed = 0;
  for (const auto& [id, peer] : aState.mPeers) {
    if (!IsWithin(peer.mLastSentAt, aNow, aWindow)) {
      continue;
    }
    ++probed;
    if (!peer.mAnsweredProbeAt || !peer.mStoreRead ||
        !IsWithin(*peer.mAnsweredProbeAt, aNow, aWindow)) {
      continue;
    }
    // A report of an older failure is no evidence: the peer may reach the store again by now.
    if (IsFailedWithin(peer.mStoreRead, aNow, aLimit)) {
      ++failed;
    } else if (peer.mStoreRead->mReachable &&
               (!aConfirmed || peer.mStoreRead->mSentAt > *aConfirmed)) {
      return false;
    }
  }
  return 2 * failed > probed;
}

} // namespace

const char* ToString(verdict aVerdict)
{
  switch (aVerdict) {
    case verdict::Fresh:
      return "fresh";
    case verdict::Outage:
      return "outage";
    case verdict::Isolated:
      return "isolated";
  }
  return "isolated";
}

void Confirm(freshness_state& aState, const head_confirmation& aConfirmation)
{
  aState.mHighest = std::max(aState.mHighest, aConfirmation.mRevision);
  const auto [entry, isNew] =
    aState.mConfirmed.try_emplace(aConfirmation.mRevision, aConfirmation.mAt);
  if (!isNew) {
    entry->second = std::max(entry->second, aConfirmation.mAt);
  }
}

std::optional<time_point> ConfirmedAt(const freshness_state& aState, revision aHeld)
{
  std::optional<time_point> latest;
  for (const auto& [confirmed, at] : aState.mConfirmed) {
    if (confirmed <= aHeld && (!latest || *latest < at)) {
      latest = at;
    }
  }
  return latest;
}

verdict Verdict(const freshness_state& aState, revision aHeld, time_point aNow,
                const freshness_options& aOptions)
{
  const duration limit = aOptions.mLimit;
  if (aHeld == revision(0)) {
    return verdict::Isolated;
  }
  const auto confirmed = ConfirmedAt(aState, aHeld);
  if (confirmed && IsWithin(*confirmed, aNow, limit)) {
    return verdict::Fresh;
  }
  // A revision above the held one was accepted, so the held one is not the head.
  if (aState.mHighest > aHeld || !IsFailedWithin(aState.mLastRead, aNow, limit)) {
    return verdict::Isolated;
  }
  const bool isOutage =
    IsStoreDownForPeers(aState, confirmed, aNow, aOptions.mProbeWindow, limit) ||
    IsStoreDownForPeers(aState, confirmed, aNow, limit, limit);
  return isOutage ? verdict::Outage : verdict::Isolated;
}

void ForgetOld(freshness_state& aState, revision aHeld, time_point aNow,
               const freshness_options& aOptions)
{
  std::erase_if(aState.mPeers, [&](const auto& aEntry) {
    return !IsWithin(aEntry.second.mLastSentAt, aNow, aOptions.mLimit);
  });
  if (const auto confirmed = ConfirmedAt(aState, aHeld)) {
    std::erase_if(aState.mConfirmed, [&](const auto& aEntry) { return aEntry.first < aHeld; });
    aState.mConfirmed[aHeld] = *confirmed;
  }
}

} // namespace tamarackweir::settings
