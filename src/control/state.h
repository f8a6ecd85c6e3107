#pragma once

#include "balancing/balancing.h"
#include "billing/billing.h"
#include "capacity/capacity.h"
#include "cascade/cascade.h"
#include "claims/claims.h"
#include "control/effects.h"
#include "membership/membership.h"
#include "overload/admission.h"
#include "overload/retry.h"
#include "quarantine/quarantine.h"
#include "rollout/evidence.h"
#include "rollout/rollout.h"
#include "sessions/session_token.h"
#include "settings/acceptance.h"
#include "settings/propagation.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace tamarackweir::control {

/// Who this instance is.
struct identity
{
  instance_id mId;
  start_epoch mEpoch;
  owner_id mOwner;
  data_centre_id mDataCentre;
  std::string mPeerAddress;
};

/// A request that waits for a server: for a credit of a cold one, or for the re-run of a suspect.
struct waiting_choice
{
  choose mRequest;
  server_id mServer; ///< the cold server
  std::optional<capacity::credit_id> mCredit;
  bool mIsRerun = false;
  std::string mRerunToken;
  bool mBusy = false; ///< a table operation of the re-run is in flight
  time_point mNextTry{};
};

/// A tree that was in force, as the base of patches for peers.
struct past_tree
{
  revision mRevision;
  nlohmann::json mTree;
};

/// A step of a settings proposal that waits, after a lost answer.
struct delayed_proposal
{
  time_point mAt{};
  ticket mTicket;
  settings::acceptance_action mAction;
};

/// Everything that an instance decides with. The control actor owns it.
struct state
{
  identity mSelf;
  std::mt19937_64 mRandom;

  settings::propagation_state mPropagation;
  settings::enforcement_state mEnforcement;
  std::shared_ptr<const settings::tree> mTree; ///< null until the first revision
  std::deque<past_tree> mPastTrees;
  std::map<ticket, settings::acceptance> mProposals;
  std::vector<delayed_proposal> mDelayedProposals;
  std::map<std::string, time_point> mOwnProposals; ///< of roll-outs, by change id

  membership::state mMembership;
  std::map<server_id, std::string> mServerAddresses;
  std::map<server_id, time_point> mNextLoad; ///< when the next load report is read
  balancing::state mBalancing;
  capacity::state mCapacity;

  overload::admission_state mAdmission;
  std::map<request_id, std::pair<ticket, started>> mQueued; ///< wait for admission
  overload::retry_budget mRetries;
  quarantine::state mQuarantine;
  std::map<request_id, ticket> mCrashWaits; ///< callers that wait until peers know of a crash
  std::map<ticket, waiting_choice> mChoices;

  claims::state mClaims;
  std::map<claims::call_id, ticket> mClaimWaits;
  billing::state mBilling;
  std::map<billing::sequence_number, ticket> mBillWaits;

  sessions::state mSessions;
  cascade::state mCascade;
  std::map<std::string, std::uint64_t>
    mPublishedEvidence; ///< version last spread, by rumour subject
  time_point mNextPublish{};
  rollout::evidence mEvidence;
  std::map<std::string, rollout::driver_state> mDrivers; ///< by "<owner>/<name>"

  std::uint64_t mNextTicket = 1; ///< shared by request events and own proposals
  time_point mNextRevisionTick{};
  time_point mNextSlowTick{};
  time_point mNextQuarantineRead{};
  time_point mNextCascadeTick{};
  bool mListRead = false;
  std::optional<ticket> mDrainTicket;
  time_point mDrainSince{};
  bool mHasLeft = false;         ///< drained; stays not ready while the last answers are written
  bool mAdmissionScaled = false; ///< the concurrency limit has started from the servers' capacity
  std::size_t mActive = 0;       ///< started chat requests and calls of services
};

/// What an instance needs at its start.
struct start_options
{
  identity mSelf;
  std::uint64_t mSeed = 0;
  sessions::key_ring mSessionKeys;
  claims::wall_seconds mWallNow;
};

/// The state of an instance that starts now and remembers nothing.
state Start(const start_options& aOptions, time_point aNow);

/// Takes an event of a request thread or of the operator API. The answer is in `aOut` now or after
/// a later event.
void OnRequest(state& aState, ticket aTicket, const request_event& aEvent, time_point aNow,
               effects& aOut);

/// Takes a message of a peer.
void OnPeerMessage(state& aState, const peer::message& aMessage, time_point aNow, effects& aOut);

/// Takes the result of a `table_commit`; `aSentAt` is when it was sent.
void OnCommit(state& aState, const table_commit& aCommit, const platform::commit_result& aResult,
              time_point aNow, effects& aOut);

/// Takes the result of a `table_read`.
void OnRead(state& aState, const table_read& aRead, const platform::read_result& aResult,
            time_point aNow, effects& aOut);

/// Takes the result of an `object_write`.
void OnObject(state& aState, billing::operation_id aOperation, billing::object_status aStatus,
              time_point aNow, effects& aOut);

/// Takes the platform's instance list.
void OnInstanceList(state& aState, const std::vector<membership::listed_instance>& aList,
                    time_point aNow);

/// The answer of an engine's `GET /load`.
struct load_answer
{
  server_id mServer;
  time_point mSentAt{}; ///< when the request for the report left
  nlohmann::json mBody;
};

/// Takes a load report; a malformed one is ignored and returns false.
bool OnLoad(state& aState, const load_answer& aLoad, time_point aNow, effects& aOut);

/// Whether a request, a claim, a bill or a shutdown waits for periodic work.
bool IsBusy(const state& aState);

/// Periodic work of all slices. Call every 5 ms while `IsBusy`, else every 50 ms.
void Tick(state& aState, time_point aNow, effects& aOut);

/// Replaces the session keys.
void RotateKeys(state& aState, sessions::key_ring aKeys);

/// Whether the instance can serve: it has settings and has read the instance list.
bool IsReady(const state& aState);

} // namespace tamarackweir::control
