#pragma once

#include "base/overloaded.h"
#include "control/state.h"

namespace tamarackweir::control::internal {

/// Adds a part for a peer; parts for one peer in one round leave in one message.
void AddPart(state& aState, const instance_id& aTo, peer::part aPart, effects& aOut);

/// Performs what the slices ask for.
void Apply(state& aState, const settings::propagation_actions& aActions, time_point aNow,
           effects& aOut);
void Apply(state& aState, membership::actions aActions, time_point aNow, effects& aOut);
void Apply(state& aState, const capacity::actions& aActions, time_point aNow, effects& aOut);
void Apply(state& aState, const quarantine::actions& aActions, time_point aNow, effects& aOut);
void Apply(state& aState, const claims::actions& aActions, time_point aNow, effects& aOut);
void Apply(state& aState, const billing::actions& aActions, time_point aNow, effects& aOut);
void Apply(state& aState, const overload::admission_actions& aActions, time_point aNow,
           effects& aOut);

/// The refusal of an instance that is starting or shutting down.
problem NotReady();

/// Events of chat requests.
void OnStart(state& aState, ticket aTicket, const start& aStart, time_point aNow, effects& aOut);
void OnChoose(state& aState, ticket aTicket, const choose& aChoose, time_point aNow, effects& aOut);
void OnDispatch(state& aState, ticket aTicket, const dispatch& aDispatch, time_point aNow,
                effects& aOut);
void OnFinished(state& aState, ticket aTicket, const finished& aFinished, time_point aNow,
                effects& aOut);
void OnRated(state& aState, const rated& aRated, time_point aNow);

/// A credit of a cold server arrived: the request that asked for it goes on.
void OnUsableCredit(state& aState, const capacity::credit_id& aCredit, time_point aNow,
                    effects& aOut);
/// Entry instances that may take duties, without this one.
std::set<instance_id> LivePeers(const state& aState);
/// Tries the requests that wait for a server again.
void TickChoices(state& aState, time_point aNow, effects& aOut);
/// Continues a re-run after its table operation.
void OnRerunRead(state& aState, ticket aTicket, const platform::read_result& aResult,
                 time_point aNow, effects& aOut);
void OnRerunCommit(state& aState, ticket aTicket, time_point aNow);

/// The HTTP status of a gate's refusal.
int StatusOf(settings::gate_refusal aRefusal);

/// The gate's answer to a service call now. The data centre is that of the service in the instance
/// list, or the own one if the list does not name the service's address.
begun_call CheckServiceCall(const state& aState, const account_id& aAccount,
                            const settings::call_work& aWork, time_point aNow);

/// Events of bills and claims.
void OnBill(state& aState, ticket aTicket, const bill& aBill, time_point aNow, effects& aOut);
void OnClaim(state& aState, ticket aTicket, const claim& aClaim, time_point aNow, effects& aOut);
begun_call OnBeginCall(state& aState, const begin_call& aBegin, time_point aNow);
void OnFinishCall(state& aState, const finish_call& aFinish, time_point aNow);
/// Tells billing which peers can hold copies, and which origins are gone.
void UpdateBillingPeers(state& aState, time_point aNow, effects& aOut);

/// Events of the settings.
void OnPropose(state& aState, ticket aTicket, const settings::change& aChange, time_point aNow,
               effects& aOut);
void ApplyAcceptance(state& aState, ticket aTicket, const settings::acceptance_action& aAction,
                     time_point aNow, effects& aOut);
void TickProposals(state& aState, time_point aNow, effects& aOut);
void OnRevisionFetch(state& aState, const instance_id& aFrom, const peer::revision_fetch& aFetch,
                     effects& aOut);
void OnRevisionContent(state& aState, const peer::revision_content& aContent, time_point aNow,
                       effects& aOut);

/// Sends gossip and polls the settings' head where due.
void TickGossip(state& aState, time_point aNow, effects& aOut);

/// Reads the load reports that are due.
void TickLoads(state& aState, time_point aNow, effects& aOut);

/// Roll-outs: the driver's rounds, halts by any instance, evidence to and from peers.
void TickRollouts(state& aState, time_point aNow, effects& aOut);
void OnRolloutRow(state& aState, const std::string& aName, const platform::read_result& aResult,
                  time_point aNow);
void OnRolloutCommit(state& aState, const table_commit& aCommit,
                     const platform::commit_result& aResult);
void PublishEvidence(state& aState, time_point aNow, effects& aOut);
void OnEvidence(state& aState, const membership::rumour& aRumour, time_point aNow);
/// Counts a result of a version, if the owner has a running roll-out of its model.
void CountResult(state& aState, const owner_id& aOwner, const model_version& aVersion, bool aGood);
/// The owner's roll-out of a model, if there is one.
std::optional<rollout::rollout_settings> FindRollout(const settings::tree& aTree,
                                                     const owner_id& aOwner,
                                                     const model_id& aModel);

/// Answers of the operator API.
nlohmann::json Status(const state& aState, time_point aNow);
nlohmann::json Unconfirmed(state& aState, revision aRevision, time_point aNow, effects& aOut);

} // namespace tamarackweir::control::internal
