#pragma once

#include "claims/claims.h"

namespace tamarackweir::claims::internal {

/// Registers an operation that starts now under the next number.
operation_id StartOperation(state& aState, operation aOperation, time_point aNow);

/// Wall time, computed from the wall clock at the start and the monotonic time since then.
std::int64_t WallSeconds(const state& aState, time_point aNow);

/// Table key of the group row, which lists the claims of one transaction for their removal.
std::string GroupKey(const state& aState, std::uint64_t aNumber, time_point aNow);

/// Starts the next step of removing expired rows, if one is due.
void SweepStep(state& aState, time_point aNow, actions& aOut);

/// Handles a read of the sweep; `aResult` is unreachable if the answer was lost.
void OnSweepRead(state& aState, const operation& aOperation, const platform::read_result& aResult,
                 time_point aNow, actions& aOut);

/// Handles the result of a removal of the sweep.
void OnSweepCommit(state& aState, const operation& aOperation, platform::commit_status aStatus,
                   time_point aNow);

/// Writes the outcomes and processes the releases that are due.
void StoreStep(state& aState, time_point aNow, actions& aOut);

/// Handles the result of a write of outcomes or of the removal of a released claim.
void OnStoreCommit(state& aState, const operation& aOperation, platform::commit_status aStatus,
                   time_point aNow);

/// Handles a read that precedes the removal of released claims.
void OnReleaseRead(state& aState, const operation& aOperation, const platform::read_result& aResult,
                   time_point aNow, actions& aOut);

/// Schedules the release of a claim.
void AddRelease(state& aState, const open_call& aCall, time_point aNow);

/// A string member of a row's value; empty if it is absent or not a string, so that a damaged row
/// is treated as another holder's claim with an unknown outcome.
std::string TextMember(const platform::row& aRow, const char* aName);

/// Key and token of a claim in a group row.
struct listed_claim
{
  std::string mKey;
  std::string mToken;
};

/// The claims that a group row lists; damaged entries are skipped.
std::vector<listed_claim> ListedClaims(const platform::row& aGroup);

/// The row value of a claim.
nlohmann::json ClaimValue(const call& aCall, const claim_token& aToken, const char* aState);

/// Converts an outcome to JSON and back.
nlohmann::json EncodeOutcome(const outcome& aOutcome);
outcome DecodeOutcome(const nlohmann::json& aValue);

} // namespace tamarackweir::claims::internal
