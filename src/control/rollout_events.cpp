#include "control/internal.h"

#include "base/digest.h"
#include "base/log.h"

#include <algorithm>
#include <cmath>
#include <cstring>

namespace tamarackweir::control::internal {

using nlohmann::json;

namespace {

/// An own counter is spread again at most this often; a halt needs evidence within seconds, not at
/// once.
constexpr duration kPublishInterval = 2s;
/// A proposal that came to nothing is made again after this.
constexpr duration kProposalRetry = 10s;
/// A rating at or above it counts as a good result; the same bound as the cascade's acceptance.
constexpr double kGoodScore = 0.5;

constexpr char kSeparator = '|';
constexpr const char* kRolloutSubject = "rollout";
constexpr const char* kCascadeSubject = "cascade";

std::string NameOf(const rollout::rollout_settings& aRollout)
{
  return aRollout.mOwner.Value() + "/" + aRollout.mName;
}

std::vector<std::string> Split(const std::string& aText)
{
  std::vector<std::string> parts(1);
  for (const char character : aText) {
    if (character == kSeparator) {
      parts.emplace_back();
    } else {
      parts.back() += character;
    }
  }
  return parts;
}

template<class Value>
void Pack(std::string& aBytes, const Value& aValue)
{
  std::array<char, sizeof(Value)> raw{};
  std::memcpy(raw.data(), &aValue, sizeof(Value));
  aBytes.append(raw.data(), raw.size());
}

template<class Value>
Value Unpack(const std::string& aBytes, std::size_t aIndex)
{
  Value value{};
  std::memcpy(&value, aBytes.data() + aIndex * sizeof(Value), sizeof(Value));
  return value;
}

/// Spreads a payload if its version is higher than the one spread last.
void Publish(state& aState, const std::string& aSubject, std::uint64_t aVersion,
             std::string aPayload, time_point aNow, effects& aOut)
{
  std::uint64_t& published = aState.mPublishedEvidence[aSubject];
  if (aVersion <= published) {
    return;
  }
  published = aVersion;
  Apply(aState,
        membership::Spread(aState.mMembership,
                           { { membership::rumour_kind::Evidence, aSubject, aState.mSelf.mEpoch },
                             aVersion,
                             std::move(aPayload),
                             {} },
                           aNow),
        aNow, aOut);
}

rollout::rollout_state ToRollout(settings::rollout_state aState)
{
  switch (aState) {
    case settings::rollout_state::Running:
      return rollout::rollout_state::Running;
    case settings::rollout_state::Halted:
      return rollout::rollout_state::Halted;
    case settings::rollout_state::Done:
      return rollout::rollout_state::Done;
  }
  return rollout::rollout_state::Halted;
}

const char* NameOf(rollout::rollout_state aState)
{
  switch (aState) {
    case rollout::rollout_state::Running:
      return "running";
    case rollout::rollout_state::Halted:
      return "halted";
    case rollout::rollout_state::Done:
      return "done";
  }
  return "halted";
}

rollout::rollout_settings ToRollout(const owner_id& aOwner, const model_id& aModel,
                                    const settings::rollout& aRollout)
{
  return { .mOwner = aOwner,
           .mName = aModel.Value(),
           .mModel = aModel,
           .mOldVersion = aRollout.mFrom,
           .mNewVersion = aRollout.mTo,
           .mShare = aRollout.mShare.Value(),
           .mState = ToRollout(aRollout.mState) };
}

/// Engines that are to hold the candidate before the next share is proposed: a part of those with
/// the old version.
std::vector<server_id> ServersForShare(const state& aState,
                                       const rollout::rollout_settings& aRollout)
{
  std::vector<std::pair<std::uint64_t, server_id>> ranked;
  const model_version from{ aRollout.mModel, aRollout.mOldVersion };
  const model_version to{ aRollout.mModel, aRollout.mNewVersion };
  for (const balancing::server& server : aState.mBalancing.mServers) {
    const auto holds = [&](const model_version& aVersion) {
      return std::find(server.mVersions.begin(), server.mVersions.end(), aVersion) !=
             server.mVersions.end();
    };
    if (holds(from) || holds(to)) {
      ranked.emplace_back(StableHash(server.mId.Value() + "/" + NameOf(aRollout)), server.mId);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  const auto wanted = static_cast<std::size_t>(
    std::ceil(rollout::NextShare(aRollout.mShare) * static_cast<double>(ranked.size())));
  std::vector<server_id> servers;
  for (std::size_t i = 0; i < std::min(wanted, ranked.size()); ++i) {
    servers.push_back(ranked[i].second);
  }
  return servers;
}

std::vector<rollout::engine_report> Engines(const state& aState)
{
  std::vector<rollout::engine_report> engines;
  for (const balancing::server& server : aState.mBalancing.mServers) {
    if (server.mReported) {
      engines.push_back({ server.mId, { server.mVersions.begin(), server.mVersions.end() } });
    }
  }
  return engines;
}

/// Proposes a roll-out's change as a change of the settings like any other.
void ProposeChange(state& aState, const rollout::settings_proposal& aProposal, time_point aNow,
                   effects& aOut)
{
  time_point& next = aState.mOwnProposals[aProposal.mChangeId];
  if (next > aNow) {
    return;
  }
  next = aNow + kProposalRetry;
  settings::change change{ .mId = settings::change_id(aProposal.mChangeId),
                           .mBase = aState.mPropagation.mHeld,
                           .mTree = aState.mPropagation.mTree,
                           .mAuthor = { aProposal.mOwner, settings::operator_id("automatic"),
                                        true } };
  json& rollout = change.mTree["owners"][aProposal.mOwner.Value()]["rollouts"][aProposal.mName];
  rollout["share"] = aProposal.mShare;
  rollout["state"] = NameOf(aProposal.mState);
  Log(log_level::Info, "rollout_change_proposed",
      { { "owner", aProposal.mOwner.Value() },
        { "rollout", aProposal.mName },
        { "share", aProposal.mShare },
        { "state", NameOf(aProposal.mState) } });
  OnPropose(aState, ticket(aState.mNextTicket++), change, aNow, aOut);
}

/// Whether this instance may drive the roll-out. The halt needs no driver.
bool IsContender(const state& aState, const rollout::rollout_settings& aRollout)
{
  std::vector<instance_id> instances{ aState.mSelf.mId };
  for (const membership::member* member : membership::LiveMembers(aState.mMembership)) {
    instances.push_back(member->mId);
  }
  const auto contenders = rollout::LeaseContenders(aRollout, instances);
  return std::find(contenders.begin(), contenders.end(), aState.mSelf.mId) != contenders.end();
}

void TickRollout(state& aState, const rollout::rollout_settings& aRollout, time_point aNow,
                 effects& aOut)
{
  const std::string name = NameOf(aRollout);
  rollout::driver_state& driver = aState.mDrivers[name];
  driver.mSelf = aState.mSelf.mId;
  if (const auto halt = rollout::ProposeHalt(aRollout, aState.mEvidence, driver.mDesign)) {
    ProposeChange(aState, *halt, aNow, aOut);
    return;
  }
  if (!IsContender(aState, aRollout)) {
    return;
  }
  const rollout::rollout_target goal{ aRollout, ServersForShare(aState, aRollout) };
  const rollout::driver_actions actions =
    rollout::OnTick(driver, goal, Engines(aState), aState.mEvidence, aNow);
  if (actions.mReadRow) {
    aOut.mReads.push_back(
      { { slice::Rollout, 0, name }, { { rollout::RowKey(aRollout) }, "" }, aNow });
  }
  if (actions.mTransaction) {
    aOut.mCommits.push_back({ { slice::Rollout, 0, name }, *actions.mTransaction, aNow });
  }
  for (const rollout::engine_order& order : actions.mOrders) {
    if (const auto address = aState.mServerAddresses.find(order.mServer);
        address != aState.mServerAddresses.end()) {
      aOut.mOrders.push_back({ address->second, order, actions.mOrdersValidUntil });
    }
  }
  if (actions.mProposal) {
    ProposeChange(aState, *actions.mProposal, aNow, aOut);
  }
}

} // namespace

std::optional<rollout::rollout_settings> FindRollout(const settings::tree& aTree,
                                                     const owner_id& aOwner, const model_id& aModel)
{
  const auto owner = aTree.mOwners.find(aOwner);
  if (owner == aTree.mOwners.end()) {
    return std::nullopt;
  }
  const auto found = owner->second.mRollouts.find(aModel);
  if (found == owner->second.mRollouts.end()) {
    return std::nullopt;
  }
  return ToRollout(aOwner, aModel, found->second);
}

void CountResult(state& aState, const owner_id& aOwner, const model_version& aVersion, bool aGood)
{
  if (aState.mTree == nullptr) {
    return;
  }
  const auto rollout = FindRollout(*aState.mTree, aOwner, aVersion.mModel);
  if (!rollout || rollout->mState != rollout::rollout_state::Running ||
      (aVersion.mVersion != rollout->mOldVersion && aVersion.mVersion != rollout->mNewVersion)) {
    return;
  }
  rollout::RecordResult(aState.mEvidence,
                        { .mOwner = aOwner,
                          .mRollout = rollout->mName,
                          .mStep = rollout::StepIndex(rollout->mShare),
                          .mVersion = aVersion.mVersion,
                          .mInstance = aState.mSelf.mId,
                          .mEpoch = aState.mSelf.mEpoch },
                        aGood);
}

void OnRated(state& aState, const rated& aRated, time_point aNow)
{
  cascade::OnRatingRequested(aState.mCascade, aNow);
  if (!aRated.mScore) {
    return;
  }
  cascade::OnRating(aState.mCascade, aRated.mTraffic, aRated.mVersion.mModel, *aRated.mScore, aNow,
                    aRated.mDelivery);
  CountResult(aState, aRated.mOwner, aRated.mVersion, *aRated.mScore >= kGoodScore);
}

void PublishEvidence(state& aState, time_point aNow, effects& aOut)
{
  if (aNow < aState.mNextPublish) {
    return;
  }
  aState.mNextPublish = aNow + kPublishInterval;
  for (const auto& [key, counts] : aState.mEvidence) {
    if (key.mInstance != aState.mSelf.mId || key.mEpoch != aState.mSelf.mEpoch) {
      continue;
    }
    std::string payload;
    Pack(payload, counts.mGood);
    Pack(payload, counts.mBad);
    Publish(aState,
            std::string(kRolloutSubject) + kSeparator + key.mOwner.Value() + kSeparator +
              key.mRollout + kSeparator + std::to_string(key.mStep) + kSeparator +
              key.mVersion.Value() + kSeparator + key.mInstance.Value(),
            counts.mGood + counts.mBad, std::move(payload), aNow, aOut);
  }
  const cascade::peer_evidence snapshot = cascade::TakeSnapshot(aState.mCascade);
  for (const auto& [traffic, models] : snapshot.mEvidence) {
    for (const auto& [model, evidence] : models) {
      std::string payload;
      for (const double value :
           { evidence.mRated, evidence.mScore, evidence.mAccepted, evidence.mAcceptedScore }) {
        Pack(payload, static_cast<float>(value));
      }
      // Discounted sums fall as well as grow, so the version is the sequence of the snapshot, but
      // an entry without a new rating needs no message: the receiver discounts by itself.
      const std::string subject =
        std::string(kCascadeSubject) + kSeparator + traffic.mAccount.Value() + kSeparator +
        traffic.mKind + kSeparator + model.Value() + kSeparator + aState.mSelf.mId.Value();
      if (evidence.mRated > 0) {
        Publish(aState, subject, snapshot.mSequence, std::move(payload), aNow, aOut);
      }
    }
  }
}

void OnEvidence(state& aState, const membership::rumour& aRumour, time_point)
{
  const std::vector<std::string> parts = Split(aRumour.mKey.mSubject);
  if (parts.size() == 6 && parts[0] == kRolloutSubject &&
      aRumour.mPayload.size() == 2 * sizeof(std::uint64_t)) {
    const rollout::counter_key key{ .mOwner = owner_id(parts[1]),
                                    .mRollout = parts[2],
                                    .mStep = static_cast<std::uint32_t>(std::stoul(parts[3])),
                                    .mVersion = version_id(parts[4]),
                                    .mInstance = instance_id(parts[5]),
                                    .mEpoch = aRumour.mKey.mEpoch };
    rollout::Merge(aState.mEvidence, { { key,
                                         { Unpack<std::uint64_t>(aRumour.mPayload, 0),
                                           Unpack<std::uint64_t>(aRumour.mPayload, 1) } } });
    return;
  }
  if (parts.size() == 5 && parts[0] == kCascadeSubject &&
      aRumour.mPayload.size() == 4 * sizeof(float)) {
    const instance_id from(parts[4]);
    cascade::peer_evidence snapshot = aState.mCascade.mPeers[from];
    snapshot.mSequence = std::max(snapshot.mSequence + 1, aRumour.mVersion);
    snapshot.mEvidence[{ account_id(parts[1]), parts[2] }][model_id(parts[3])] = {
      .mRated = Unpack<float>(aRumour.mPayload, 0),
      .mScore = Unpack<float>(aRumour.mPayload, 1),
      .mAccepted = Unpack<float>(aRumour.mPayload, 2),
      .mAcceptedScore = Unpack<float>(aRumour.mPayload, 3)
    };
    cascade::OnSnapshot(aState.mCascade, from, snapshot);
  }
}

void TickRollouts(state& aState, time_point aNow, effects& aOut)
{
  if (aState.mTree == nullptr) {
    return;
  }
  const std::shared_ptr<const settings::tree> tree = aState.mTree;
  for (const auto& [ownerId, owner] : tree->mOwners) {
    for (const auto& [model, rollout] : owner.mRollouts) {
      if (rollout.mState == settings::rollout_state::Running) {
        rollout::rollout_settings running = ToRollout(ownerId, model, rollout);
        running.mRevision = aState.mPropagation.mHeld;
        TickRollout(aState, running, aNow, aOut);
      }
    }
  }
}

void OnRolloutRow(state& aState, const std::string& aName, const platform::read_result& aResult,
                  time_point aNow)
{
  const auto slash = aName.find('/');
  const auto driver = aState.mDrivers.find(aName);
  if (driver == aState.mDrivers.end() || aState.mTree == nullptr) {
    return;
  }
  if (const auto rollout = FindRollout(*aState.mTree, owner_id(aName.substr(0, slash)),
                                       model_id(aName.substr(slash + 1)))) {
    rollout::OnRowRead(driver->second, *rollout, aResult, aNow);
  }
}

void OnRolloutCommit(state& aState, const table_commit& aCommit,
                     const platform::commit_result& aResult)
{
  if (const auto driver = aState.mDrivers.find(aCommit.mOperation.mSubject);
      driver != aState.mDrivers.end()) {
    rollout::OnCommit(driver->second, aCommit.mTransaction, aResult, aCommit.mSentAt);
  }
}

} // namespace tamarackweir::control::internal
