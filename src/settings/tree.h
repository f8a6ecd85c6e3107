#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tamarackweir::settings {

/// A group of data centres that can lose contact with the others, for example "hokkaido".
using region_id = strong_type<struct region_tag, std::string>;
/// An operator's name, unique per owner.
using operator_id = strong_type<struct operator_tag, std::string>;
/// One call of a plain service, for example "activate".
using call_id = strong_type<struct call_tag, std::string>;
/// An address "ip:port".
using server_address = strong_type<struct server_address_tag, std::string>;
/// SHA-256 of a bearer key, as 64 lower-case hexadecimal digits.
using key_digest = strong_type<struct key_digest_tag, std::string>;
/// The share of answers that must be good, 0 to 1.
using quality = strong_type<struct quality_tag, double>;
/// A part of the traffic, 0 to 1.
using traffic_share = strong_type<struct traffic_share_tag, double>;
/// A size in bytes.
using byte_count = strong_type<struct byte_count_tag, std::uint64_t>;
/// A number of bill records.
using record_count = strong_type<struct record_count_tag, std::uint64_t>;
/// A number of concurrent requests.
using request_count = strong_type<struct request_count_tag, std::uint32_t>;

/// Whether operators let a data centre take work.
enum class data_centre_state
{
  In,
  Out, ///< gets no new work
};

/// The life of a model version.
enum class version_state
{
  Active,
  Leaving,   ///< serves its sessions and takes no new ones
  Withdrawn, ///< gets no work at all
};

/// Admission priority; low is shed first.
enum class priority
{
  Low,
  Normal,
  High,
};

/// What an instance does for an owner while it can't confirm its settings (design, section 7).
enum class isolated_behaviour
{
  Refuse,
  ServeStable, ///< serve versions that are active and in no roll-out
};

/// Progress of a roll-out.
enum class rollout_state
{
  Running,
  Halted, ///< all traffic goes to the old version
  Done,   ///< all traffic goes to the new version
};

/// The inheritable values, after inheritance. The initialisers are the built-in defaults; the keys
/// of the same names are described in docs/configuration.md.
struct values
{
  quality mQualityTarget{ 0.9 };
  std::chrono::milliseconds mDeadline{ 30000 };
  priority mPriority = priority::Normal;
  byte_count mMaxRequestBytes{ 1048576 };
  traffic_share mRetryBudget{ 0.1 }; ///< retries per request of the last 10 s
  bool mHedge = false;
  isolated_behaviour mWhenIsolated = isolated_behaviour::Refuse;
  std::chrono::hours mClaimRetention{ 168 };
  record_count mBillBufferRecords{ 200000 };
  record_count mBillAtRiskRecords{ 1000 };
  bool mPrefixAffinity = true;

  bool operator==(const values&) const = default;
};

/// The inheritable values that one level sets; empty members are inherited.
struct overrides
{
  std::optional<quality> mQualityTarget;
  std::optional<std::chrono::milliseconds> mDeadline;
  std::optional<priority> mPriority;
  std::optional<byte_count> mMaxRequestBytes;
  std::optional<traffic_share> mRetryBudget;
  std::optional<bool> mHedge;
  std::optional<isolated_behaviour> mWhenIsolated;
  std::optional<std::chrono::hours> mClaimRetention;
  std::optional<record_count> mBillBufferRecords;
  std::optional<record_count> mBillAtRiskRecords;
  std::optional<bool> mPrefixAffinity;
};

struct data_centre
{
  region_id mRegion;
  data_centre_state mState = data_centre_state::In;
};

struct model
{
  micro_cost mCostPer1kTokens;
  std::map<version_id, version_state> mVersions;
};

/// What the settings know of a backend server; its address and state come from the instance list.
struct server
{
  request_count mColdLimit{ 1 }; ///< requests it can carry at a time while cold
  bool mChecksFencing = false;   ///< it rejects orders with a stale fencing number
};

struct service_call
{
  bool mRepeatable = false; ///< false: at most once, guarded by a claim
};

struct service
{
  owner_id mOwner;
  server_address mAddress;
  std::map<call_id, service_call> mCalls;
};

/// One stage of a cascade: a model, or one version of it.
struct cascade_stage
{
  model_id mModel;
  std::optional<version_id> mVersion;
};

struct cascade
{
  std::vector<cascade_stage> mStages; ///< from cheap to expensive
};

struct rollout
{
  version_id mFrom;
  version_id mTo;
  traffic_share mShare{ 0 }; ///< the part of the sessions that gets `mTo`
  rollout_state mState = rollout_state::Running;
};

/// What a client account may use, resolved from the names in `allow`.
struct allowance
{
  std::set<model_id> mModels; ///< all versions of these models
  std::set<model_version> mVersions;
  std::set<cascade_id> mCascades; ///< also allows the stages, but only within the cascade
  std::set<service_id> mServices;
};

struct client_account
{
  std::set<key_digest> mKeys;
  allowance mAllow;
  overrides mSettings;
  std::map<model_id, overrides> mModelSettings;
  std::map<cascade_id, overrides> mCascadeSettings;
};

struct operator_account
{
  std::set<key_digest> mKeys;
};

struct owner
{
  overrides mSettings;
  std::map<operator_id, operator_account> mOperators;
  std::map<cascade_id, cascade> mCascades;
  std::map<model_id, rollout> mRollouts;
  std::map<account_id, client_account> mAccounts;
};

/// One revision of the settings, checked: every reference in it resolves.
struct tree
{
  std::map<data_centre_id, data_centre> mDataCentres;
  std::map<model_id, model> mModels;
  std::map<server_id, server> mServers;
  std::map<service_id, service> mServices;
  overrides mDefaults;
  std::map<owner_id, owner> mOwners;
};

/// A client account with its owner; the pointers are into the tree.
struct account_entry
{
  const owner_id* mOwnerId = nullptr;
  const owner* mOwner = nullptr;
  const client_account* mAccount = nullptr;
};

/// Returns the client account with its owner, or nothing if no owner has it.
std::optional<account_entry> FindAccount(const tree& aTree, const account_id& aAccount);

/// Returns the client account (or nothing) whose key has this digest.
std::optional<account_id> FindAccountByKey(const tree& aTree, const key_digest& aKey);

/// Returns the state of a version, or nothing if the model or the version does not exist.
std::optional<version_state> StateOf(const tree& aTree, const model_version& aVersion);

/// Whether the version takes part in a roll-out of any owner: either version of a running one, or
/// the new version of a halted one.
bool IsInRollout(const tree& aTree, const model_version& aVersion);

} // namespace tamarackweir::settings
