#include "quarantine/trial_claims.h"

#include <algorithm>

namespace tamarackweir::quarantine {

bool TryClaim(trial_claims& aClaims, cause_key aRequest, const trial_claim& aClaim)
{
  trial_claim& known = aClaims[aRequest];
  if (aClaim.mSince < known.mUntil) {
    return false;
  }
  known = aClaim;
  return true;
}

void RecordClaim(trial_claims& aClaims, cause_key aRequest, const trial_claim& aClaim)
{
  trial_claim& known = aClaims[aRequest];
  const duration apart =
    std::max(aClaim.mSince, known.mSince) - std::min(aClaim.mSince, known.mSince);
  const bool isOver = aClaim.mSince >= known.mUntil;
  if (isOver || known.mOwner == aClaim.mOwner ||
      (apart < kClaimWait && aClaim.mOwner < known.mOwner)) {
    known = aClaim;
  }
}

bool HoldsClaim(const trial_claims& aClaims, cause_key aRequest, std::uint64_t aOwner,
                time_point aNow)
{
  const auto known = aClaims.find(aRequest);
  return known != aClaims.end() && known->second.mOwner == aOwner && aNow < known->second.mUntil;
}

void RemoveExpired(trial_claims& aClaims, time_point aNow)
{
  std::erase_if(aClaims, [aNow](const auto& aEntry) { return aNow >= aEntry.second.mUntil; });
}

} // namespace tamarackweir::quarantine
