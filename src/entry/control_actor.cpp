#include "entry/control_actor.h"

#include "base/log.h"
#include "entry/actor_messages.h"

#include <map>

namespace tamarackweir::entry {

namespace {

/// While requests run: the batching windows of claims (5 ms) and bills (20 ms) need it.
constexpr auto kBusyTick = std::chrono::milliseconds(5);
/// Otherwise. 200 ticks/s take 2.9% of a core on an idle instance, above the 1.3% that control may
/// cost.
constexpr auto kIdleTick = std::chrono::milliseconds(50);
constexpr duration kListInterval = 2s;
/// Reads of the instance list per second by the whole fleet; more instances read it less often, and
/// gossip tells them of instances and servers that leave meanwhile.
constexpr std::size_t kFleetListReads = 8;
constexpr duration kMetricsInterval = 1s;

struct control_actor_state
{
  control_options mOptions;
  control::state mState;
  std::map<control::ticket, caf::typed_response_promise<reply_message>> mPromises;
  std::size_t mNextWriter = 0;
  std::size_t mNextReader = 0;
  std::size_t mNextLoad = 0;
  time_point mNextList{};
  time_point mNextMetrics{};
  std::uint64_t mTickNumber = 0;
  bool mTicksFast = false;
  static inline const char* name = "control"; // NOLINT(readability-identifier-naming): read by CAF
};

using control_self = caf::stateful_actor<control_actor_state>;

void SendToPeers(control_self* aSelf, const std::vector<control::peer_send>& aSends)
{
  control_actor_state& own = aSelf->state;
  const control::identity& identity = own.mState.mSelf;
  for (const control::peer_send& send : aSends) {
    const peer::message message{ identity.mId, identity.mEpoch, identity.mPeerAddress,
                                 send.mParts };
    auto bytes = std::make_shared<const std::string>(peer::Seal(message, own.mOptions.mPeerKey));
    own.mOptions.mMetrics->Count("tamarackweir_peer_sent_bytes_total", {},
                                 static_cast<double>(bytes->size()));
    own.mOptions.mMetrics->Count("tamarackweir_peer_sent_messages_total");
    aSelf->send(own.mOptions.mWorkers.mPeers, send_message{ send.mAddress, std::move(bytes) });
  }
}

void Reply(control_self* aSelf, control::reply& aReply)
{
  auto& promises = aSelf->state.mPromises;
  if (auto waiting = promises.extract(aReply.mTicket)) {
    waiting.mapped().deliver(
      reply_message{ std::make_shared<const control::request_reply>(std::move(aReply.mReply)) });
  }
}

void Publish(control_self* aSelf)
{
  const control::state& state = aSelf->state.mState;
  aSelf->state.mOptions.mPublished->Publish(
    { state.mTree, std::make_shared<const nlohmann::json>(state.mPropagation.mTree),
      state.mPropagation.mHeld });
}

void Perform(control_self* aSelf, control::effects aEffects)
{
  control_actor_state& own = aSelf->state;
  worker_actors& workers = own.mOptions.mWorkers;
  // Replies follow the snapshot, so that a request thread that hears of a revision finds it.
  if (aEffects.mSettingsChanged) {
    Publish(aSelf);
  }
  for (control::reply& reply : aEffects.mReplies) {
    Reply(aSelf, reply);
  }
  SendToPeers(aSelf, aEffects.mSends);
  for (control::table_commit& commit : aEffects.mCommits) {
    aSelf->send(workers.mTableWriters[own.mNextWriter++ % workers.mTableWriters.size()],
                commit_message{ std::make_shared<const control::table_commit>(std::move(commit)) });
  }
  for (control::table_read& read : aEffects.mReads) {
    aSelf->send(workers.mTableReaders[own.mNextReader++ % workers.mTableReaders.size()],
                read_message{ std::make_shared<const control::table_read>(std::move(read)) });
  }
  for (control::object_write& write : aEffects.mObjects) {
    aSelf->send(workers.mObjects,
                object_message{ std::make_shared<const control::object_write>(std::move(write)) });
  }
  for (control::engine_order& order : aEffects.mOrders) {
    aSelf->send(workers.mOrders,
                order_message{ std::make_shared<const control::engine_order>(std::move(order)) });
  }
  for (const control::load_fetch& fetch : aEffects.mLoadFetches) {
    aSelf->send(workers.mLoads[own.mNextLoad++ % workers.mLoads.size()],
                load_message{ fetch.mServer, fetch.mAddress });
  }
}

void SetGauges(control_self* aSelf, time_point aNow)
{
  control_actor_state& own = aSelf->state;
  const control::state& state = own.mState;
  observe::metrics& registry = *own.mOptions.mMetrics;
  const settings::verdict verdict = settings::CurrentVerdict(state.mPropagation, aNow);
  registry.Set("tamarackweir_settings_revision",
               static_cast<double>(state.mPropagation.mHeld.Value()));
  registry.Set("tamarackweir_settings_isolated", verdict == settings::verdict::Isolated ? 1 : 0);
  registry.Set("tamarackweir_settings_store_outage", verdict == settings::verdict::Outage ? 1 : 0);
  registry.Set("tamarackweir_active_requests", static_cast<double>(state.mActive));
  registry.Set("tamarackweir_queued_requests",
               static_cast<double>(overload::QueueLength(state.mAdmission)));
  registry.Set("tamarackweir_admission_limit", state.mAdmission.mLimit);
  registry.Set("tamarackweir_bill_records_buffered",
               static_cast<double>(billing::CountBuffered(state.mBilling)));
  registry.Set("tamarackweir_bill_records_at_risk",
               static_cast<double>(state.mBilling.mAtRiskCount));
  registry.Set("tamarackweir_claim_outcomes_unstored",
               static_cast<double>(claims::CountUnstored(state.mClaims)));
  registry.Set("tamarackweir_rating_outage", state.mCascade.mOutage ? 1 : 0);
  registry.Set("tamarackweir_quarantine_entries",
               static_cast<double>(state.mQuarantine.mEntries.size()));
  registry.Set("tamarackweir_instances_known",
               static_cast<double>(state.mMembership.mMembers.size() + 1));
  registry.Set("tamarackweir_servers_known", static_cast<double>(state.mBalancing.mServers.size()));
}

/// Sends the next tick; one that was sent before is ignored when it arrives.
void ScheduleTick(control_self* aSelf)
{
  control_actor_state& own = aSelf->state;
  own.mTicksFast = control::IsBusy(own.mState);
  ++own.mTickNumber;
  aSelf->delayed_send(aSelf, own.mTicksFast ? kBusyTick : kIdleTick,
                      tick_message{ own.mTickNumber });
}

void OnTick(control_self* aSelf)
{
  control_actor_state& own = aSelf->state;
  const time_point now = Now(aSelf->system());
  control::effects effects;
  control::Tick(own.mState, now, effects);
  Perform(aSelf, std::move(effects));
  if (now >= own.mNextList) {
    const std::size_t instances = own.mState.mMembership.mMembers.size() + 1;
    own.mNextList =
      now + std::max(kListInterval,
                     duration(1s) * static_cast<std::int64_t>(instances / kFleetListReads));
    aSelf->send(own.mOptions.mWorkers.mList, list_message{});
  }
  if (now >= own.mNextMetrics) {
    own.mNextMetrics = now + kMetricsInterval;
    SetGauges(aSelf, now);
  }
  ScheduleTick(aSelf);
}

/// Runs a handler with fresh effects and performs them.
template<class Handler>
void Handle(control_self* aSelf, Handler&& aHandler)
{
  control::effects effects;
  aHandler(aSelf->state.mState, Now(aSelf->system()), effects);
  Perform(aSelf, std::move(effects));
  if (!aSelf->state.mTicksFast && control::IsBusy(aSelf->state.mState)) {
    ScheduleTick(aSelf);
  }
}

caf::behavior ControlBehavior(control_self* aSelf, control_options aOptions)
{
  control_actor_state& own = aSelf->state;
  own.mState = control::Start(aOptions.mStart, Now(aSelf->system()));
  own.mOptions = std::move(aOptions);
  ScheduleTick(aSelf);
  return {
    [aSelf](const request_message& aMessage) {
      const control::ticket ticket(aSelf->state.mState.mNextTicket++);
      auto promise = aSelf->make_response_promise<reply_message>();
      aSelf->state.mPromises[ticket] = promise;
      Handle(aSelf, [&](control::state& aState, time_point aNow, control::effects& aOut) {
        control::OnRequest(aState, ticket, *aMessage.mEvent, aNow, aOut);
      });
      return promise;
    },
    [aSelf](const peer_message& aMessage) {
      Handle(aSelf, [&](control::state& aState, time_point aNow, control::effects& aOut) {
        control::OnPeerMessage(aState, *aMessage.mMessage, aNow, aOut);
      });
    },
    [aSelf](const committed_message& aMessage) {
      Handle(aSelf, [&](control::state& aState, time_point aNow, control::effects& aOut) {
        control::OnCommit(aState, *aMessage.mCommit, aMessage.mResult, aNow, aOut);
      });
    },
    [aSelf](const rows_message& aMessage) {
      Handle(aSelf, [&](control::state& aState, time_point aNow, control::effects& aOut) {
        control::OnRead(aState, *aMessage.mRead, aMessage.mResult, aNow, aOut);
      });
    },
    [aSelf](const stored_message& aMessage) {
      Handle(aSelf, [&](control::state& aState, time_point aNow, control::effects& aOut) {
        control::OnObject(aState, aMessage.mOperation, aMessage.mStatus, aNow, aOut);
      });
    },
    [aSelf](const listed_message& aMessage) {
      if (aMessage.mList != nullptr) {
        control::OnInstanceList(aSelf->state.mState, *aMessage.mList, Now(aSelf->system()));
      }
    },
    [aSelf](const loaded_message& aMessage) {
      Handle(aSelf, [&](control::state& aState, time_point aNow, control::effects& aOut) {
        if (!control::OnLoad(aState, *aMessage.mLoad, aNow, aOut)) {
          Log(log_level::Warning, "load_report_malformed",
              { { "server", aMessage.mLoad->mServer.Value() } });
        }
      });
    },
    [aSelf](const keys_message& aMessage) {
      control::RotateKeys(aSelf->state.mState, *aMessage.mKeys);
    },
    [aSelf](const tick_message& aTick) {
      if (aTick.mNumber == aSelf->state.mTickNumber) {
        OnTick(aSelf);
      }
    },
  };
}

} // namespace

caf::actor SpawnControl(caf::actor_system& aSystem, control_options aOptions)
{
  // Detached, because an event may compute a JSON patch of the settings, which would hold up the
  // scheduler's threads.
  return aSystem.spawn<caf::detached>(ControlBehavior, std::move(aOptions));
}

} // namespace tamarackweir::entry
