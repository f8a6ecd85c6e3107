#include "gateway/load_exchange.h"

#include "base/error.h"
#include "gateway/crash_reports.h"
#include "gateway/server_probe.h"
#include "gateway/speed_reports.h"
#include "net/bind_retry.h"
#include "observe/event_log.h"
#include "quarantine/crash_message.h"

#include <utility>

namespace tamarackweir::gateway {

namespace {

/// Between two reports of an instance: an engine prefills a long prompt in about this time.
constexpr duration kReportInterval = 200ms;
/// Above this number of instances reports become less frequent, so that aggregators keep up.
constexpr std::size_t kInstancesAtFullRate = 80;
/// Load reports between two messages of speeds, and of crashes that include older quarantines.
constexpr std::size_t kReminderRounds = 5;
/// An aggregator answers many instances with the same pooled observations. Pooling takes 1.8 ms of
/// CPU time at 300 instances that each report 64 servers.
constexpr duration kPooledAnewAfter = 100ms;
/// All requests at a server that crashes break in this time, and are reported together.
constexpr duration kCollectEvidence = 10ms;

/// Logs and counts the servers that became unreachable or reachable for all instances.
void ReportChanges(gateway_state& aState, const std::vector<backends::view_change>& aChanges)
{
  for (const backends::view_change& change : aChanges) {
    const bool isLost = change.mServer->mPooled.mIsUnreachable;
    aState.mMetrics.Count(isLost ? "tamarackweir_servers_lost_total"
                                 : "tamarackweir_servers_recovered_total");
    observe::event_line(isLost ? "server_lost" : "server_recovered")
      .Text("server", change.mServer->mAnnounced.mId.Value())
      .Number("failed_instances", change.mCause.mFailed)
      .Number("tried_instances", change.mCause.mTried)
      .Write();
  }
}

} // namespace

load_exchange::load_exchange(net::asio::io_context& aLoop, gateway_state& aState)
  : mLoop(aLoop)
  , mState(aState)
  , mSocket(aLoop)
{
}

void load_exchange::Start(const net::tcp::endpoint& aAddress)
{
  mAddress = { aAddress.address(), aAddress.port() };
  if (const net::error_code failure = Bind(); failure && !net::MayBindLater(failure)) {
    throw boost::system::system_error(failure, "bind " + net::ToString(aAddress));
  }
  mState.mShareCrashNews = [this](crash_news aNews) { ShareCrashNews(aNews); };
  net::Spawn(mLoop.get_executor(), "load_exchange", BindAndRun());
  net::Spawn(mLoop.get_executor(), "server_probe", ProbeServers(mLoop, mState));
}

net::error_code load_exchange::Bind()
{
  net::error_code failure;
  net::asio::ip::udp::socket socket(mLoop);
  socket.open(mAddress.protocol(), failure);
  if (!failure) {
    socket.non_blocking(true, failure);
  }
  if (!failure) {
    socket.bind(mAddress, failure);
  }
  if (!failure) {
    mSocket = std::move(socket);
  }
  return failure;
}

net::task<> load_exchange::BindAndRun()
{
  if (!mSocket.is_open()) {
    co_await net::BindLater(mLoop.get_executor(),
                            net::ToString({ mAddress.address(), mAddress.port() }),
                            [this] { return Bind(); });
  }
  net::Spawn(mLoop.get_executor(), "load_listen", ReceiveDatagrams());
  net::Spawn(mLoop.get_executor(), "load_tell", SendReports());
}

net::task<> load_exchange::SendReports()
{
  while (true) {
    const std::size_t instances = mState.mInstances.size();
    const std::size_t slowdown = 1 + instances / kInstancesAtFullRate;
    co_await net::SleepFor(mLoop.get_executor(), kReportInterval * static_cast<int>(slowdown));
    RecordFoundCrashes(mState, net::Now());
    const bool isFullMesh = instances <= kMaxFullMesh;
    const std::vector<std::string> receivers = Receivers();
    placement::load_message report{ .mInstance = mState.mSelf.mId.Value(),
                                    .mLoads = placement::OwnLoads(mState.mFleet),
                                    .mSeen = backends::OwnObservations(mState.mFleet, net::Now()) };
    ++mRounds;
    bool isAggregator = isFullMesh;
    const bool isReminder = mRounds % kReminderRounds == 0;
    const auto crashes = EncodedCrashes(isReminder);
    placement::speed_message speeds{ .mInstance = report.mInstance, .mSpeeds = OwnSpeeds(mState) };
    for (std::size_t i = 0; i < receivers.size(); ++i) {
      if (receivers[i] == mState.mSelf.mId.Value()) {
        isAggregator = true;
        continue;
      }
      if (const auto peer = mPeers.find(receivers[i]); peer != mPeers.end()) {
        report.mAsksForTotals = !isFullMesh && mRounds % receivers.size() == i;
        Send(placement::Encode(report, net::Now()), peer->second);
        SendCrashes(crashes, peer->second);
        if (isReminder) {
          speeds.mAsksForPooled = !isFullMesh && mRounds / kReminderRounds % receivers.size() == i;
          Send(placement::Encode(speeds), peer->second);
        }
      }
    }
    const time_point now = net::Now();
    quarantine::RemoveExpired(mState.mCrashes, now);
    quarantine::RemoveExpired(mState.mTrialClaims, now);
    if (isAggregator) {
      UsePooledSpeeds(mState, now);
      OnTotals(placement::Totals(mBoard, "", now), PooledObservations(now), now);
      // Other instances do not receive the answers that clear a part.
      QuarantineWorstSuspect(mState, now);
    }
  }
}

net::task<> load_exchange::ReceiveDatagrams()
{
  std::string bytes(placement::kMaxMessageBytes, '\0');
  while (true) {
    datagram_endpoint sender;
    net::error_code failure;
    const std::size_t size = co_await mSocket.async_receive_from(
      net::asio::buffer(bytes), sender,
      net::asio::redirect_error(net::asio::use_awaitable, failure));
    if (failure == net::asio::error::operation_aborted) {
      co_return;
    }
    if (failure) {
      observe::event_line("load_receive_failed").Text("reason", failure.message()).Write();
      co_await net::SleepFor(mLoop.get_executor(), kReportInterval);
      continue;
    }
    HandleDatagram(std::string_view(bytes).substr(0, size), sender);
  }
}

void load_exchange::HandleDatagram(std::string_view aBytes, const datagram_endpoint& aSender)
{
  try {
    const time_point now = net::Now();
    if (quarantine::IsCrashMessage(aBytes)) {
      const quarantine::crash_message message = quarantine::DecodeCrashes(aBytes, now);
      for (const auto& [request, claim] : message.mClaims) {
        quarantine::RecordClaim(mState.mTrialClaims, request, claim);
      }
      const quarantine::merge_result merged =
        quarantine::ApplyMessage(mState.mCrashes, message, now);
      ReportEvidence(mState, merged.mEvidence, "peer");
      OnQuarantined(mState, merged.mQuarantined, "peer");
      return;
    }
    if (placement::IsSpeedMessage(aBytes)) {
      HandleSpeeds(aBytes, aSender);
      return;
    }
    placement::load_message message = placement::DecodeLoads(aBytes, now);
    if (message.mSkipped > 0) {
      observe::event_line("load_entries_skipped")
        .Text("instance", message.mInstance)
        .Number("entries", static_cast<std::int64_t>(message.mSkipped))
        .Write();
    }
    if (message.mIsTotals) {
      OnTotals(message.mLoads, message.mSeen, now);
      return;
    }
    const std::string instance = message.mInstance;
    const bool asksForTotals = message.mAsksForTotals;
    placement::RecordReport(mBoard, std::move(message), now);
    if (asksForTotals) {
      placement::load_report totals = placement::Totals(mBoard, instance, now);
      placement::Add(totals, placement::OwnLoads(mState.mFleet));
      const placement::load_message reply{ .mInstance = mState.mSelf.mId.Value(),
                                           .mIsTotals = true,
                                           .mLoads = std::move(totals),
                                           .mSeen = PooledObservations(now) };
      Send(placement::Encode(reply, now), aSender);
      SendCrashes(EncodedCrashes(true), aSender);
    }
  } catch (const error& failure) {
    observe::event_line("load_unreadable").Text("reason", failure.what()).Write();
  }
}

void load_exchange::OnTotals(const placement::load_report& aLoads,
                             const backends::observations& aSeen, time_point aNow)
{
  placement::ApplyTotals(mState.mFleet, aLoads, aNow);
  ReportChanges(mState, backends::ApplyPooled(mState.mFleet, aSeen, aNow));
}

const backends::observations& load_exchange::PooledObservations(time_point aNow)
{
  if (aNow - mPooledAt > kPooledAnewAfter) {
    mPooled =
      placement::PooledObservations(mBoard, backends::OwnObservations(mState.mFleet, aNow), aNow);
    mPooledAt = aNow;
  }
  return mPooled;
}

void load_exchange::HandleSpeeds(std::string_view aBytes, const datagram_endpoint& aSender)
{
  if (ApplySpeeds(mState, placement::DecodeSpeeds(aBytes), net::Now())) {
    Send(placement::Encode({ .mInstance = mState.mSelf.mId.Value(),
                             .mIsPooled = true,
                             .mSpeeds = mState.mSpeedBoard.mPooled.mSpeeds }),
         aSender);
  }
}

std::vector<std::string> load_exchange::Receivers() const
{
  return mState.mInstances.size() <= kMaxFullMesh
           ? mState.mInstances
           : DutyHolders(mState.mRoster, "load board", kAggregators);
}

void load_exchange::ShareCrashNews(crash_news aNews)
{
  if (aNews == crash_news::Evidence) {
    if (!std::exchange(mWillSendEvidence, true)) {
      net::Spawn(mLoop.get_executor(), "crash_evidence", SendEvidence());
    }
    return;
  }
  const time_point now = net::Now();
  const auto message = quarantine::MakeMessage(mState.mCrashes, false, now, mState.mTrialClaims);
  if (!message || !mSocket.is_open()) {
    return;
  }
  const auto decisions = quarantine::EncodeInParts({ .mQuarantined = message->mQuarantined,
                                                     .mTrials = message->mTrials,
                                                     .mClaims = message->mClaims },
                                                   now);
  for (const auto& [id, address] : mPeers) {
    SendCrashes(decisions, address);
  }
}

net::task<> load_exchange::SendEvidence()
{
  co_await net::SleepFor(mLoop.get_executor(), kCollectEvidence);
  mWillSendEvidence = false;
  const auto crashes = EncodedCrashes(false);
  for (const std::string& id : Receivers()) {
    if (const auto peer = mPeers.find(id); peer != mPeers.end()) {
      SendCrashes(crashes, peer->second);
    }
  }
}

void load_exchange::SendCrashes(const std::vector<std::string>& aDatagrams,
                                const datagram_endpoint& aTo)
{
  for (const std::string& datagram : aDatagrams) {
    Send(datagram, aTo);
  }
}

std::vector<std::string> load_exchange::EncodedCrashes(bool aIsReminder) const
{
  const time_point now = net::Now();
  const auto message =
    quarantine::MakeMessage(mState.mCrashes, aIsReminder, now, mState.mTrialClaims);
  return message ? quarantine::EncodeInParts(*message, now) : std::vector<std::string>();
}

void load_exchange::Send(const std::string& aBytes, const datagram_endpoint& aTo)
{
  net::error_code failure;
  mSocket.send_to(net::asio::buffer(aBytes), aTo, 0, failure);
  if (failure) {
    mState.mMetrics.Count("tamarackweir_load_reports_unsent_total");
  }
}

} // namespace tamarackweir::gateway
