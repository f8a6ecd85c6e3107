#pragma once

#include "claims/claims.h"

namespace tamarackweir::claims::internal {

/// Draws the next operation number and remembers what the operation is for.
operation_id StartOperation(state& aState, operation aOperation, time_point aNow);

/// Wall time by the runtime's clock and the wall clock at the start.
std::int64_t WallSeconds(const state& aState, time_point aNow);

/// Table key of the group row that lists the claims of one transaction, for their removal.
std::string GroupKey(const state& aState, std::uint64_t aNumber, time_point aNow);

/// One step of the removal after retention, if one is due.
void SweepStep(state& aState, time_point aNow, actions& aOut);

/// The answer to a read of the sweep; `aResult` is unreachable if it was lost.
void OnSweepRead(state& aState, const operation& aOperation, const platform::read_result& aResult,
                 time_point aNow, actions& aOut);

/// The answer to a removal of the sweep.
void OnSweepCommit(state& aState, const operation& aOperation, platform::commit_status aStatus,
                   time_point aNow);

/// Writes outcomes and releases that are due.
void StoreStep(state& aState, time_point aNow, actions& aOut);

/// The answer to a write of outcomes or to the removal of a released claim.
void OnStoreCommit(state& aState, const operation& aOperation, platform::commit_status aStatus,
                   time_point aNow);

/// The answer to a read before the removal of released claims.
void OnReleaseRead(state& aState, const operation& aOperation, const platform::read_result& aResult,
                   time_point aNow, actions& aOut);

/// Adds a claim that is to be released.
void AddRelease(state& aState, const open_call& aCall, time_point aNow);

/// A text member of a row's value; empty if it is absent or no text, so that a damaged row reads as
/// another holder's claim with an unknown outcome.
std::string TextMember(const platform::row& aRow, const char* aName);

/// Key and token of a claim that a group row lists.
struct listed_claim
{
  std::string mKey;
  std::string mToken;
};

/// The claims that a group row lists; entries that are damaged are left out.
std::vector<listed_claim> ListedClaims(const platform::row& aGroup);

/// The row value of a claim.
nlohmann::json ClaimValue(const call& aCall, const claim_token& aToken, const char* aState);

/// Outcome as JSON and back.
nlohmann::json EncodeOutcome(const outcome& aOutcome);
outcome DecodeOutcome(const nlohmann::json& aValue);

} // namespace tamarackweir::claims::internal
