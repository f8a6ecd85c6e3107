#include "entry/platform_actors.h"

#include "base/log.h"
#include "entry/actor_messages.h"
#include "net/http_call.h"

namespace tamarackweir::entry {

using nlohmann::json;

namespace {

constexpr std::size_t kTableWriters = 4;
constexpr std::size_t kTableReaders = 2;
constexpr std::size_t kLoadReaders = 4;
constexpr duration kLongestWait = 2s;
/// A report that takes longer is of no use.
const platform::call_options kLoadCall{ .mConnectTimeout = 300ms, .mTimeout = 500ms };
constexpr duration kLongestRatingWait = 1s;
const platform::call_options kRatingCall{ .mConnectTimeout = 300ms, .mTimeout = 2s };
const platform::call_options kTableCall{ .mConnectTimeout = 300ms, .mTimeout = 1s };

bool HasWaitedTooLong(caf::event_based_actor* aSelf, time_point aSentAt)
{
  return Now(aSelf->system()) - aSentAt > kLongestWait;
}

caf::behavior TableWriter(caf::event_based_actor* aSelf, const platform::endpoint& aTable)
{
  return { [aSelf, aTable](const commit_message& aMessage) {
    platform::commit_result result{ platform::commit_status::Unreachable, {} };
    if (!HasWaitedTooLong(aSelf, aMessage.mCommit->mSentAt)) {
      result = platform::Commit(aTable, aMessage.mCommit->mTransaction, kTableCall);
    }
    return committed_message{ aMessage.mCommit, std::move(result) };
  } };
}

caf::behavior TableReader(caf::event_based_actor* aSelf, const platform::endpoint& aTable)
{
  return { [aSelf, aTable](const read_message& aMessage) {
    platform::read_result result;
    if (!HasWaitedTooLong(aSelf, aMessage.mRead->mSentAt)) {
      result = platform::Read(aTable, aMessage.mRead->mRequest, kTableCall);
    }
    return rows_message{ aMessage.mRead, std::move(result) };
  } };
}

caf::behavior ObjectWriter(caf::event_based_actor*, const platform::endpoint& aStore)
{
  return { [aStore](const object_message& aMessage) {
    const bool stored = platform::PutObject(aStore, aMessage.mWrite->mKey, aMessage.mWrite->mBody);
    return stored_message{ aMessage.mWrite->mOperation, stored ? billing::object_status::Stored
                                                               : billing::object_status::Unknown };
  } };
}

membership::role ToRole(const std::string& aRole)
{
  if (aRole == "entry") {
    return membership::role::Entry;
  }
  return aRole == "engine" ? membership::role::Engine : membership::role::Service;
}

caf::behavior ListReader(caf::event_based_actor*, const platform::endpoint& aList)
{
  const auto entityTag = std::make_shared<std::string>();
  return { [aList, entityTag](const list_message&) {
    const auto listed = platform::ListInstances(aList, *entityTag);
    if (!listed) {
      Log(log_level::Warning, "instance_list_unreachable", {});
      return listed_message{};
    }
    *entityTag = listed->mEntityTag;
    if (listed->mUnchanged) {
      return listed_message{};
    }
    std::vector<membership::listed_instance> entries;
    for (const platform::listed_instance& entry : listed->mInstances) {
      entries.push_back({ .mId = entry.mId,
                          .mRole = ToRole(entry.mRole),
                          .mAddress = entry.mAddress,
                          .mPeerAddress = entry.mPeerAddress,
                          .mDataCentre = entry.mDataCentre,
                          .mLeaving = entry.mLeaving,
                          .mEpoch = {} });
    }
    return listed_message{ std::make_shared<const std::vector<membership::listed_instance>>(
      std::move(entries)) };
  } };
}

caf::behavior LoadReader(caf::event_based_actor* aSelf)
{
  return { [aSelf](const load_message& aMessage) {
    control::load_answer answer{ .mServer = aMessage.mServer,
                                 .mSentAt = Now(aSelf->system()),
                                 .mBody = {} };
    if (auto body =
          platform::GetJson(platform::ParseEndpoint(aMessage.mAddress), "/load", kLoadCall)) {
      answer.mBody = std::move(*body);
      aSelf->send(
        caf::actor_cast<caf::actor>(aSelf->current_sender()),
        loaded_message{ std::make_shared<const control::load_answer>(std::move(answer)) });
    }
  } };
}

caf::behavior Rater(caf::event_based_actor* aSelf, const platform::endpoint& aRating,
                    const caf::actor& aControl)
{
  return { [aSelf, aRating, aControl](const rating_message& aMessage) {
    const rating_job& job = *aMessage.mJob;
    if (Now(aSelf->system()) - job.mEndedAt > kLongestRatingWait) {
      return;
    }
    const auto score = platform::Rate(aRating, job.mRequest, job.mVersion.mModel,
                                      job.mTraffic.mKind, job.mAnswer, kRatingCall);
    caf::anon_send(aControl, request_message{ std::make_shared<const control::request_event>(
                               control::rated{ job.mTraffic, job.mVersion, job.mOwner, score,
                                               cascade::delivery::RatingNotAwaited }) });
  } };
}

caf::behavior OrderSender(caf::event_based_actor* aSelf)
{
  return { [aSelf](const order_message& aMessage) {
    const control::engine_order& order = *aMessage.mOrder;
    if (Now(aSelf->system()) >= order.mValidUntil) {
      return; // the lease may have passed to another driver
    }
    const platform::endpoint engine = platform::ParseEndpoint(order.mAddress);
    net::http_call call;
    call.mServer = { net::asio::ip::make_address(engine.mHost),
                     static_cast<std::uint16_t>(engine.mPort) };
    call.mMethod = net::http::verb::post;
    call.mTarget = "/orders";
    call.mConnectLimit = kLoadCall.mConnectTimeout;
    call.mLimit = 2s;
    const json body{ { "order",
                       order.mOrder.mKind == rollout::engine_order_kind::Load ? "load" : "unload" },
                     { "version", ToString(order.mOrder.mVersion) },
                     { "fencing", order.mOrder.mFencing.Value() } };
    call.mBody = body.dump();
    const net::http_result result = net::PerformHere(std::move(call));
    Log(log_level::Info, "engine_order_sent",
        { { "server", order.mOrder.mServer.Value() },
          { "order", body },
          { "status", result.mFailure ? 0 : result.mStatus } });
  } };
}

} // namespace

void SpawnPlatformActors(caf::actor_system& aSystem, const instance_settings& aSettings,
                         worker_actors& aWorkers)
{
  for (std::size_t i = 0; i < kTableWriters; ++i) {
    aWorkers.mTableWriters.push_back(aSystem.spawn<caf::detached>(TableWriter, aSettings.mTable));
  }
  for (std::size_t i = 0; i < kTableReaders; ++i) {
    aWorkers.mTableReaders.push_back(aSystem.spawn<caf::detached>(TableReader, aSettings.mTable));
  }
  for (std::size_t i = 0; i < kLoadReaders; ++i) {
    aWorkers.mLoads.push_back(aSystem.spawn<caf::detached>(LoadReader));
  }
  aWorkers.mObjects = aSystem.spawn<caf::detached>(ObjectWriter, aSettings.mObjects);
  aWorkers.mList = aSystem.spawn<caf::detached>(ListReader, aSettings.mInstanceList);
  aWorkers.mOrders = aSystem.spawn<caf::detached>(OrderSender);
}

caf::actor SpawnRater(caf::actor_system& aSystem, const platform::endpoint& aRating,
                      const caf::actor& aControl)
{
  return aSystem.spawn<caf::detached>(Rater, aRating, aControl);
}

} // namespace tamarackweir::entry
