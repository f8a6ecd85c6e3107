#pragma once

#include "quarantine/crash_board.h"

#include <cstdint>
#include <map>

namespace tamarackweir::quarantine {

/// The claim of an instance to run a request on trial. Others refuse it meanwhile.
struct trial_claim
{
  std::uint64_t mOwner = 0; ///< hash of the instance and the request; the lower of two goes first
  time_point mSince{};
  time_point mUntil{};
};

/// Claims of all instances, as far as known here, by request.
using trial_claims = std::map<cause_key, trial_claim>;

/// Between a claim and the run, so that claims made at the same moment meet.
inline constexpr duration kClaimWait = 100ms;

/// Claims the trial, unless another claim is in force. Returns whether the claim was made.
bool TryClaim(trial_claims& aClaims, cause_key aRequest, const trial_claim& aClaim);

/// Records the claim of another instance, or a new end of a known one. Of two claims made at the
/// same moment the one with the lower owner stays, at all instances.
void RecordClaim(trial_claims& aClaims, cause_key aRequest, const trial_claim& aClaim);

/// Whether the claim of this owner is in force.
bool HoldsClaim(const trial_claims& aClaims, cause_key aRequest, std::uint64_t aOwner,
                time_point aNow);

/// Removes claims that are over.
void RemoveExpired(trial_claims& aClaims, time_point aNow);

} // namespace tamarackweir::quarantine
