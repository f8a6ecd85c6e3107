#include "control/internal.h"

#include <algorithm>

namespace tamarackweir::control {

using nlohmann::json;

namespace internal {

namespace {

/// Load reports read per second by one instance. A read takes about 1 KB on the wire, so a large
/// fleet reads at a rate that leaves room for gossip in the 3 KB/s of control traffic; a small one
/// can afford reports about a second old.
struct load_read_rates
{
  double mLocal = 0;  ///< of servers in the own data centre
  double mRemote = 0; ///< of all others together
};
constexpr load_read_rates kSmallFleetRates{ 8, 4 };
constexpr load_read_rates kLargeFleetRates{ 1, 0.25 };
constexpr std::size_t kSmallFleetServers = 64;
/// The shortest timeout of propagation is 200 ms, so its work, which copies the ids of all members,
/// need not follow the busy tick of 5 ms.
constexpr duration kRevisionTick = 50ms;

/// Takes the rumours that are new here to the slices that they concern.
void OnNews(state& aState, const membership::rumour& aRumour, time_point aNow, effects& aOut)
{
  const server_id server(aRumour.mKey.mSubject);
  switch (aRumour.mKey.mKind) {
    case membership::rumour_kind::ServerLeaving:
      balancing::OnServerLeaving(aState.mBalancing, server, aRumour.mKey.mEpoch);
      break;
    case membership::rumour_kind::ServerCold:
      Apply(
        aState,
        capacity::OnColdAnnouncement(aState.mCapacity,
                                     { server, aRumour.mKey.mEpoch, instance_id(aRumour.mPayload),
                                       fencing_number(aRumour.mVersion) },
                                     aNow),
        aNow, aOut);
      break;
    case membership::rumour_kind::InstanceLeft: {
      billing::actions actions;
      billing::OnOriginRemoved(aState.mBilling,
                               { instance_id(aRumour.mKey.mSubject), aRumour.mKey.mEpoch }, aNow,
                               actions);
      Apply(aState, actions, aNow, aOut);
      claims::OnInstanceGone(aState.mClaims, instance_id(aRumour.mKey.mSubject),
                             aRumour.mKey.mEpoch);
      break;
    }
    case membership::rumour_kind::Evidence:
      OnEvidence(aState, aRumour, aNow);
      break;
    case membership::rumour_kind::CrashSuspect:
      break; // suspects travel in acknowledged reports
  }
}

/// The settings part of a message to a peer that membership probes.
void AddRevisionGossip(state& aState, const std::vector<instance_id>& aPeers, time_point aNow,
                       effects& aOut)
{
  // Both slices share one message per peer: two gossip streams would exceed 3 KB/s at 370
  // instances.
  Apply(aState, settings::Probe(aState.mPropagation, aPeers, aPeers.size(), aNow), aNow, aOut);
  if (aNow < aState.mNextRevisionTick) {
    return;
  }
  aState.mNextRevisionTick = aNow + kRevisionTick;
  std::vector<instance_id> live;
  for (const membership::member* member : membership::LiveMembers(aState.mMembership)) {
    live.push_back(member->mId);
  }
  settings::propagation_options options;
  options.mFanOut = 0;
  Apply(aState, settings::OnTick(aState.mPropagation, live, aNow, aState.mRandom, options), aNow,
        aOut);
}

} // namespace

void AddPart(state& aState, const instance_id& aTo, peer::part aPart, effects& aOut)
{
  for (peer_send& send : aOut.mSends) {
    if (send.mTo == aTo) {
      send.mParts.push_back(std::move(aPart));
      return;
    }
  }
  const auto member = aState.mMembership.mMembers.find(aTo);
  if (member != aState.mMembership.mMembers.end()) {
    aOut.mSends.push_back({ aTo, member->second.mPeerAddress, { std::move(aPart) } });
  }
}

void Apply(state& aState, membership::actions aActions, time_point aNow, effects& aOut)
{
  for (membership::outgoing& send : aActions.mSend) {
    AddPart(aState, send.mTo, std::move(send.mMessage), aOut);
  }
  for (const membership::rumour& rumour : aActions.mNewRumours) {
    OnNews(aState, rumour, aNow, aOut);
  }
}

void Apply(state& aState, const capacity::actions& aActions, time_point aNow, effects& aOut)
{
  for (const auto& [server, transaction] : aActions.mWrites) {
    aOut.mCommits.push_back({ { slice::Capacity, 0, server.Value() }, transaction, aNow });
  }
  if (!aActions.mReadKeys.empty()) {
    aOut.mReads.push_back({ { slice::Capacity, 0, "" }, { aActions.mReadKeys, "" }, aNow });
  }
  const auto sendAll = [&](const auto& aMessages) {
    for (const auto& [to, message] : aMessages) {
      AddPart(aState, to, message, aOut);
    }
  };
  sendAll(aActions.mAsks);
  sendAll(aActions.mAnswers);
  sendAll(aActions.mReleases);
  sendAll(aActions.mReleaseAcks);
  for (const auto& [server, credit] : aActions.mUsableCredits) {
    OnUsableCredit(aState, credit, aNow, aOut);
  }
  for (const auto& [server, serverEpoch, holder, lease] : aActions.mAnnouncements) {
    Apply(aState,
          membership::Spread(aState.mMembership,
                             membership::ServerColdRumour(server, serverEpoch, holder, lease),
                             aNow),
          aNow, aOut);
  }
}

void TickLoads(state& aState, time_point aNow, effects& aOut)
{
  const auto& servers = aState.mBalancing.mServers;
  const auto local = static_cast<double>(
    std::count_if(servers.begin(), servers.end(), [&](const balancing::server& aServer) {
      return aServer.mDataCentre == aState.mSelf.mDataCentre;
    }));
  const double remote = static_cast<double>(servers.size()) - local;
  const load_read_rates& rates =
    servers.size() <= kSmallFleetServers ? kSmallFleetRates : kLargeFleetRates;
  for (const balancing::server& server : servers) {
    time_point& next = aState.mNextLoad[server.mId];
    const auto address = aState.mServerAddresses.find(server.mId);
    if (aNow < next || address == aState.mServerAddresses.end()) {
      continue;
    }
    const bool isLocal = server.mDataCentre == aState.mSelf.mDataCentre;
    const double seconds =
      std::max(isLocal ? 0.5 : 1.0, isLocal ? local / rates.mLocal : remote / rates.mRemote);
    // The jitter lets the reads of instances that started together drift apart.
    const double jitter = std::uniform_real_distribution<>(0.75, 1.25)(aState.mRandom);
    next = aNow + duration(static_cast<std::int64_t>(seconds * jitter * 1e6));
    aOut.mLoadFetches.push_back({ server.mId, address->second });
  }
}

void TickGossip(state& aState, time_point aNow, effects& aOut)
{
  membership::actions actions = membership::Tick(aState.mMembership, {}, aNow, aState.mRandom);
  std::vector<instance_id> targets;
  for (const membership::outgoing& send : actions.mSend) {
    targets.push_back(send.mTo);
  }
  Apply(aState, std::move(actions), aNow, aOut);
  AddRevisionGossip(aState, targets, aNow, aOut);
}

} // namespace internal

void OnPeerMessage(state& aState, const peer::message& aMessage, time_point aNow, effects& aOut)
{
  const instance_id& sender = aMessage.mSender;
  for (const peer::part& part : aMessage.mParts) {
    std::visit(
      overloaded{
        [&](const membership::gossip_message& aGossip) {
          internal::Apply(
            aState, membership::OnGossip(aState.mMembership, aGossip, aMessage.mReplyTo, {}, aNow),
            aNow, aOut);
        },
        [&](const settings::revision_gossip& aGossip) {
          settings::OnReport(aState.mEnforcement, aGossip.mSender, aGossip.mHeld);
          internal::Apply(aState, settings::OnGossip(aState.mPropagation, aGossip, aNow), aNow,
                          aOut);
        },
        [&](const peer::revision_fetch& aFetch) {
          internal::OnRevisionFetch(aState, sender, aFetch, aOut);
        },
        [&](const peer::revision_content& aContent) {
          internal::OnRevisionContent(aState, aContent, aNow, aOut);
        },
        [&](const billing::copy_batch& aBatch) {
          billing::actions actions;
          billing::OnCopy(aState.mBilling, aBatch, aNow, actions);
          internal::Apply(aState, actions, aNow, aOut);
        },
        [&](const billing::copy_ack& aAck) {
          billing::actions actions;
          billing::OnCopyAck(aState.mBilling, aAck, aNow, actions);
          internal::Apply(aState, actions, aNow, aOut);
        },
        [&](const capacity::credit_ask& aAsk) {
          internal::Apply(aState, capacity::OnCreditAsk(aState.mCapacity, aAsk, aNow), aNow, aOut);
        },
        [&](const capacity::credit_answer& aAnswer) {
          internal::Apply(aState,
                          capacity::OnCreditAnswer(aState.mCapacity, aAnswer, aNow, aState.mRandom),
                          aNow, aOut);
        },
        [&](const capacity::credit_release& aRelease) {
          internal::Apply(aState, capacity::OnCreditRelease(aState.mCapacity, aRelease, aNow), aNow,
                          aOut);
        },
        [&](const capacity::credit_release_ack& aAck) {
          capacity::OnCreditReleaseAck(aState.mCapacity, aAck);
        },
        [&](const quarantine::report& aReport) {
          internal::AddPart(aState, sender, quarantine::OnReport(aState.mQuarantine, aReport, aNow),
                            aOut);
        },
        [&](const quarantine::report_ack& aAck) {
          internal::Apply(aState, quarantine::OnAck(aState.mQuarantine, aAck), aNow, aOut);
        },
      },
      part);
  }
}

void OnInstanceList(state& aState, const std::vector<membership::listed_instance>& aList,
                    time_point aNow)
{
  membership::OnInstanceList(aState.mMembership, aList, aNow);
  std::vector<balancing::listed_server> servers;
  std::map<server_id, std::string> addresses;
  for (const membership::listed_instance& entry : aList) {
    if (entry.mRole == membership::role::Engine) {
      const auto known = aState.mMembership.mServers.find(server_id(entry.mId));
      const bool isLeaving =
        known != aState.mMembership.mServers.end() && membership::IsLeaving(known->second);
      servers.push_back({ server_id(entry.mId), entry.mDataCentre, isLeaving });
      addresses[server_id(entry.mId)] = entry.mAddress;
    }
  }
  for (const auto& [server, address] : aState.mServerAddresses) {
    if (!addresses.contains(server)) {
      capacity::OnServerGone(aState.mCapacity, server);
    }
  }
  aState.mServerAddresses = std::move(addresses);
  balancing::OnServerList(aState.mBalancing, servers, aNow);
  std::vector<instance_id> live;
  for (const membership::member* member : membership::LiveMembers(aState.mMembership)) {
    live.push_back(member->mId);
  }
  capacity::OnLiveInstances(aState.mCapacity, std::move(live));
  aState.mListRead = true;
}

bool OnLoad(state& aState, const load_answer& aLoad, time_point aNow, effects& aOut)
{
  balancing::load_report report{ .mServer = aLoad.mServer,
                                 .mEpoch = {},
                                 .mMeasuredAt = aLoad.mSentAt };
  capacity::load_report coldReport{ .mServer = aLoad.mServer,
                                    .mEpoch = {},
                                    .mMeasuredAt = aLoad.mSentAt };
  bool isLeaving = false;
  try {
    const json& body = aLoad.mBody;
    report.mEpoch = start_epoch(body.at("epoch").get<std::uint64_t>());
    report.mSequence = body.at("sequence").get<std::uint64_t>();
    report.mRunning = body.at("running").get<std::int64_t>();
    report.mWaiting = body.at("waiting").get<std::int64_t>();
    report.mCapacity = std::max<std::int64_t>(1, body.at("capacity").get<std::int64_t>());
    coldReport.mCold = body.at("cold").get<bool>();
    coldReport.mColdLimit = body.at("cold_limit").get<std::int64_t>();
    isLeaving = body.value("leaving", false);
    for (const json& version : body.at("versions")) {
      const auto text = version.get<std::string>();
      const auto at = text.find('@');
      if (at == std::string::npos) {
        return false;
      }
      report.mVersions.push_back({ model_id(text.substr(0, at)), version_id(text.substr(at + 1)) });
    }
  } catch (const json::exception&) {
    return false;
  }
  coldReport.mEpoch = report.mEpoch;
  coldReport.mSequence = report.mSequence;
  coldReport.mRunningRequests = report.mRunning;
  const auto known = aState.mMembership.mServers.find(aLoad.mServer);
  if (known != aState.mMembership.mServers.end() && known->second.mEpoch != start_epoch(0) &&
      known->second.mEpoch != report.mEpoch) {
    // The server restarted: whatever ran on it is gone, though its connections may not show it yet.
    internal::Apply(aState,
                    quarantine::OnServerCrash(aState.mQuarantine,
                                              { aLoad.mServer, known->second.mEpoch },
                                              internal::LivePeers(aState), aNow),
                    aNow, aOut);
  }
  internal::Apply(
    aState,
    membership::OnServerReport(aState.mMembership, aLoad.mServer, report.mEpoch, isLeaving, aNow),
    aNow, aOut);
  balancing::OnLoadReport(aState.mBalancing, report, aNow);
  if (isLeaving) {
    balancing::OnServerLeaving(aState.mBalancing, aLoad.mServer, report.mEpoch);
  }
  internal::Apply(aState, capacity::OnLoadReport(aState.mCapacity, coldReport, aNow), aNow, aOut);
  balancing::OnColdState(aState.mBalancing, aLoad.mServer,
                         capacity::IsCold(aState.mCapacity, aLoad.mServer), aNow);
  return true;
}

} // namespace tamarackweir::control
