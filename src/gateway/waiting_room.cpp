#include "gateway/waiting_room.h"

#include "backends/evidence.h"
#include "base/digest.h"
#include "gateway/crash_reports.h"
#include "gateway/server_choice.h"
#include "observe/event_log.h"
#include "placement/load_board.h"
#include "placement/server_room.h"

#include <algorithm>

namespace tamarackweir::gateway {

namespace {

/// Bounds the deadlines of callers in the order of a room. Longer ones would overflow a time.
constexpr duration kMostTimeLeft = std::chrono::hours(1);
/// For how long a server that rejected a request as full is taken to have no place. News of other
/// instances' rejections are up to 0.4 s old with 90 instances.
constexpr duration kFullMemory = 500ms;
/// Without reports, after so many servers have rejected requests the others are taken to be full.
constexpr int kFullServers = 2;

/// Whether a server has lately rejected a request as full, here or at another instance.
bool HasRejected(const backends::backend_server& aServer, time_point aNow)
{
  const backends::pooled_view& pooled = aServer.mPooled;
  const time_point fullAt =
    std::max(aServer.mSeen.mFullAt, aNow < pooled.mExpiresAt ? pooled.mFullAt : time_point{});
  return fullAt != time_point{} && aNow - fullAt <= kFullMemory;
}

/// One of so many places is promised to callers who come back; the others are for new ones.
constexpr int kPromised = 6;
constexpr int kReturnBurst = 2; ///< callers who come back and may go first at the same time

bool IsUsable(const backends::backend_server& aServer, const placement::demand& aDemand,
              time_point aNow)
{
  return backends::TakesRequests(aServer, aNow) && !aServer.mMissingSince &&
         !backends::IsSuspect(aServer, aNow) && !backends::IsCold(aServer, aNow) &&
         aDemand.mIsAllowed(aServer);
}

duration GapOf(const overload::send_pace& aPace)
{
  return std::chrono::ceil<duration>(std::chrono::duration<double>(1 / aPace.mPerSecond));
}

} // namespace

overload::place_view PlacesOf(const backends::fleet& aFleet, const placement::demand& aDemand,
                              time_point aNow)
{
  overload::place_view view;
  const placement::mean_load mean = placement::MeanLoad(aFleet, aDemand, aNow);
  int servers = 0;
  int rejecting = 0;
  double requests = 0;
  bool areTaken = true;
  for (const auto& server : backends::ServersOf(aFleet, aDemand.mService)) {
    if (!IsUsable(*server, aDemand, aNow)) {
      continue;
    }
    if (!server->mAnnounced.mPlaces) {
      return {};
    }
    const int places = server->mAnnounced.mPlaces->Value();
    const bool hasRejected = HasRejected(*server, aNow);
    const double load = placement::LoadAt(*server, mean, aNow).mRequests;
    ++servers;
    rejecting += hasRejected ? 1 : 0;
    view.mPlaces += places;
    areTaken = areTaken && (hasRejected || load >= places);
    const backends::remote_load& remote = server->mRemoteLoad;
    if (aNow <= remote.mExpiresAt) {
      view.mIsAnyIdle = view.mIsAnyIdle || (load < 1 && !hasRejected);
      view.mReportedAt = std::max(view.mReportedAt, remote.mExpiresAt - placement::kLoadLifetime);
      requests += remote.mRequests;
    }
    requests += server->mInFlight;
  }
  if (servers == 0) {
    return {};
  }
  const bool isUnreported = view.mReportedAt == time_point{};
  view.mAreTaken = areTaken || (isUnreported && rejecting >= kFullServers);
  view.mUsedShare = requests / view.mPlaces;
  return view;
}

time_point LatestSend(const call_times& aTimes)
{
  const duration patience = std::max(aTimes.mTarget - 2 * aTimes.mAnswerTime, aTimes.mAnswerTime);
  return std::min(aTimes.mArrived + patience, aTimes.mDeadline - aTimes.mAnswerTime);
}

time_point DeadlineInOrder(waiting_room& aRoom, std::uint64_t aRoute, time_point aArrived,
                           duration aTimeLeft, time_point aNow)
{
  duration& full = aRoom.mFullTimes[aRoute];
  // A single caller with a very long deadline must not make all others seem to come back.
  constexpr int kForgetting = 4;
  full = std::max(aTimeLeft, full - (full - aTimeLeft) / kForgetting);
  if (aTimeLeft >= full || aRoom.mPace.mPerSecond <= 0) {
    return aArrived + full;
  }
  if (aNow < aRoom.mNextReturn) {
    return aArrived + 2 * full;
  }
  const duration gap = kPromised * GapOf(aRoom.mPace);
  aRoom.mNextReturn = std::max(aRoom.mNextReturn, aNow - kReturnBurst * gap) + gap;
  return aArrived + aTimeLeft;
}

duration BackOff(int aRejections, duration aAnswerTime, double aPoint)
{
  // A server with six places frees one in a sixth of the time of an answer.
  constexpr double kPart = 1.0 / 3;
  return std::chrono::duration_cast<duration>(aAnswerTime * (kPart * aRejections * (0.5 + aPoint)));
}

ended_waits Enter(waiting_room& aRoom, const overload::waiting_request& aRequest,
                  const overload::place_view& aView, const overload::pace_basis& aBasis,
                  time_point aNow)
{
  overload::Observe(aRoom.mPace, aView, aBasis, aNow);
  ended_waits ended;
  if (const auto refused = overload::Insert(aRoom.mQueue, aRequest)) {
    ended.mRefused.push_back(*refused);
  }
  if (overload::IsHolding(aRoom.mPace, aView, aNow)) {
    for (const overload::waiting_id id : overload::RemoveHopeless(
           aRoom.mQueue, overload::NextSendAt(aRoom.mPace, aNow), GapOf(aRoom.mPace))) {
      ended.mRefused.push_back({ .mId = id, .mReason = overload::wait_refusal::Late });
    }
  }
  const ended_waits advanced = Advance(aRoom, aView, aBasis, aNow);
  ended.mLetGo = advanced.mLetGo;
  ended.mRefused.insert(ended.mRefused.end(), advanced.mRefused.begin(), advanced.mRefused.end());
  return ended;
}

ended_waits Advance(waiting_room& aRoom, const overload::place_view& aView,
                    const overload::pace_basis& aBasis, time_point aNow)
{
  overload::Observe(aRoom.mPace, aView, aBasis, aNow);
  ended_waits ended;
  for (const overload::waiting_id id : overload::RemoveLate(aRoom.mQueue, aNow)) {
    ended.mRefused.push_back({ .mId = id, .mReason = overload::wait_refusal::Late });
  }
  overload::place_view view = aView;
  while (!aRoom.mQueue.mRequests.empty()) {
    if (overload::IsHolding(aRoom.mPace, view, aNow) &&
        overload::NextSendAt(aRoom.mPace, aNow) > aNow) {
      break;
    }
    ended.mLetGo.push_back(*overload::TakeNext(aRoom.mQueue));
    overload::OnSent(aRoom.mPace, aNow);
    view.mIsAnyIdle = false; // The request takes the idle server.
  }
  return ended;
}

duration PromiseRoom(waiting_room& aRoom, const overload::place_view& aView, time_point aNow)
{
  if (!overload::IsHolding(aRoom.mPace, aView, aNow)) {
    return duration::zero();
  }
  const duration gap = GapOf(aRoom.mPace);
  const time_point afterQueue = overload::NextSendAt(aRoom.mPace, aNow) +
                                gap * static_cast<std::int64_t>(aRoom.mQueue.mRequests.size());
  aRoom.mPromisedUntil = std::max(aRoom.mPromisedUntil, afterQueue) + kPromised * gap;
  return aRoom.mPromisedUntil - aNow;
}

/// A call in a waiting room. It leaves the room when it is destroyed.
struct waiting_call
{
  waiting_call(std::shared_ptr<waiting_room> aRoom, call& aCall)
    : mRoom(std::move(aRoom))
    , mId(++mRoom->mLastId)
    , mSince(net::Now())
    , mTimer(std::make_shared<net::asio::steady_timer>(aCall.mCaller->Executor()))
  {
    mRoom->mCalls.emplace(mId, this);
  }
  ~waiting_call()
  {
    overload::Remove(mRoom->mQueue, mId);
    mRoom->mCalls.erase(mId);
    WakeNext();
  }
  waiting_call(const waiting_call&) = delete;
  waiting_call& operator=(const waiting_call&) = delete;

  /// Lets the first call in order find out how long it has to wait now.
  void WakeNext() const
  {
    const auto next = overload::NextOf(mRoom->mQueue);
    const auto found = next ? mRoom->mCalls.find(*next) : mRoom->mCalls.end();
    if (found != mRoom->mCalls.end()) {
      found->second->mTimer->cancel();
    }
  }

  std::shared_ptr<waiting_room> mRoom;
  overload::waiting_id mId;
  time_point mSince;
  std::shared_ptr<net::asio::steady_timer> mTimer;
  bool mIsLetGo = false;
  std::optional<overload::wait_refusal> mRefused;
};

namespace {

/// Reports and answers may show at any time that servers have places again.
constexpr duration kLongestLook = 20ms;
constexpr duration kLoggedWait = 1ms; ///< shorter ones are counted only

/// What the decisions about a call's wait depend on at one moment.
struct room_look
{
  overload::place_view mView;
  overload::pace_basis mBasis;
};

room_look LookAtPlaces(gateway_state& aState, call& aCall, time_point aNow)
{
  placement::demand demand = DemandOf(aState, aCall);
  SetCondition(aState, aCall, demand, ShiftOf(aState, aCall.mService), aNow);
  return { .mView = PlacesOf(aState.mFleet, demand, aNow),
           .mBasis = { .mAnswerTime = HistoryOf(aState, aCall).mExpected,
                       .mInstances = std::max<std::size_t>(1, aState.mInstances.size()) } };
}

/// Whether a server of the service states its places. Without any nothing is held.
bool AreAnyPlacesStated(const gateway_state& aState, const service_id& aService)
{
  const auto& servers = backends::ServersOf(aState.mFleet, aService);
  return std::any_of(servers.begin(), servers.end(),
                     [](const auto& aServer) { return aServer->mAnnounced.mPlaces.has_value(); });
}

/// Name of the room. The versions of a roll-out have servers of their own, and so have regions.
std::string RoomNameOf(const call& aCall)
{
  std::string name = aCall.mService.Value();
  if (aCall.mSide && *aCall.mSide == rollout::version_side::New) {
    name += "/new";
  }
  for (const routing::region_id& region : aCall.mRoute->mRegions) {
    name += '@' + region.Value();
  }
  if (aCall.mAccount != nullptr) {
    for (const routing::region_id& region : aCall.mAccount->mRegions) {
      name += '&' + region.Value();
    }
  }
  return name;
}

std::shared_ptr<waiting_room> RoomOf(gateway_state& aState, const call& aCall)
{
  std::shared_ptr<waiting_room>& room = aState.mWaitingRooms[RoomNameOf(aCall)];
  if (room == nullptr) {
    room = std::make_shared<waiting_room>();
  }
  return room;
}

void Apply(const waiting_room& aRoom, const ended_waits& aEnded)
{
  const auto wake = [&aRoom](overload::waiting_id aId, const auto& aSet) {
    if (const auto found = aRoom.mCalls.find(aId); found != aRoom.mCalls.end()) {
      aSet(*found->second);
      found->second->mTimer->cancel();
    }
  };
  for (const overload::waiting_id id : aEnded.mLetGo) {
    wake(id, [](waiting_call& aWaiting) { aWaiting.mIsLetGo = true; });
  }
  for (const overload::refused_request& refused : aEnded.mRefused) {
    wake(refused.mId, [&refused](waiting_call& aWaiting) { aWaiting.mRefused = refused.mReason; });
  }
}

overload::waiting_request RequestOf(waiting_room& aRoom, const call& aCall,
                                    overload::waiting_id aId, const overload::pace_basis& aBasis,
                                    time_point aNow)
{
  const time_point arrived = aCall.mRequest->mArrived;
  const std::uint64_t route = StableHash(aCall.mRoute->mName);
  const std::string account = aCall.mAccount != nullptr ? aCall.mAccount->mId.Value() : "";
  // A call that may have run is sent as long as it can be answered, as its caller can't come back.
  const call_times times{ .mArrived = arrived,
                          .mTarget = aCall.mRoute->mTargetLatency,
                          .mDeadline = aCall.mDeadline,
                          .mAnswerTime = aBasis.mAnswerTime };
  return { .mId = aId,
           .mUrgency = UrgencyOf(aCall),
           // The route's timeout starts anew with each repeat, the caller's own deadline does not.
           .mDeadline = DeadlineInOrder(
             aRoom, route, arrived,
             std::min(aCall.mHeader.mTimeLeft.value_or(aCall.mRoute->mTimeout), kMostTimeLeft),
             aNow),
           .mLatest = std::max(
             aCall.mRuns > 0 ? times.mDeadline - times.mAnswerTime : LatestSend(times), aNow),
           .mParties = { StableHash(account), route,
                         StableHash(aCall.mHeader.mSession.value_or(aCall.mHeader.mAttempt)) },
           .mBytes = aCall.mRequest->mBody.size() };
}

const char* ReasonOf(const waiting_call& aWaiting, const call& aCall)
{
  if (aCall.mCaller->IsGone()) {
    return "caller_left";
  }
  if (aCall.mIsWithdrawn) {
    return "withdrawn";
  }
  if (aWaiting.mIsLetGo) {
    return "let_go";
  }
  return aWaiting.mRefused == overload::wait_refusal::Full ? "full" : "late";
}

/// Waits for the time, or until the call's timer is cancelled.
net::task<> AwaitTimer(call& aCall, waiting_call& aWaiting, duration aTime)
{
  aWaiting.mTimer->expires_after(aTime);
  aCall.mPlaceTimer = aWaiting.mTimer;
  // Whether the time is over or the timer was cancelled, the caller of this looks again.
  net::error_code ignoredCancel;
  co_await aWaiting.mTimer->async_wait(
    net::asio::redirect_error(net::asio::use_awaitable, ignoredCancel));
  aCall.mPlaceTimer = nullptr;
}

/// Waits until the call is let go, refused or withdrawn, or its caller leaves.
net::task<room_look> AwaitTurn(gateway_state& aState, call& aCall, waiting_call& aWaiting,
                               room_look aLook)
{
  waiting_room& room = *aWaiting.mRoom;
  if (aCall.mCaller->IsGone() || aCall.mIsWithdrawn) {
    co_return aLook;
  }
  time_point now = net::Now();
  const overload::waiting_request request = RequestOf(room, aCall, aWaiting.mId, aLook.mBasis, now);
  Apply(room, Enter(room, request, aLook.mView, aLook.mBasis, now));
  while (!aWaiting.mIsLetGo && !aWaiting.mRefused && !aCall.mIsWithdrawn &&
         !aCall.mCaller->IsGone()) {
    aWaiting.WakeNext();
    time_point wake = request.mLatest + 1ms;
    if (overload::NextOf(room.mQueue) == aWaiting.mId) {
      wake = std::min({ wake, overload::NextSendAt(room.mPace, now), now + kLongestLook });
    }
    co_await AwaitTimer(aCall, aWaiting, std::max<duration>(1ms, wake - now));
    now = net::Now();
    aLook = LookAtPlaces(aState, aCall, now);
    Apply(room, Advance(room, aLook.mView, aLook.mBasis, now));
  }
  co_return aLook;
}

} // namespace

net::task<std::optional<refusal>> WaitForPlace(gateway_state& aState, call& aCall,
                                               attempt_result aLast)
{
  if (!AreAnyPlacesStated(aState, aCall.mService)) {
    co_return std::nullopt;
  }
  const time_point now = net::Now();
  room_look look = LookAtPlaces(aState, aCall, now);
  const std::shared_ptr<waiting_room> room = RoomOf(aState, aCall);
  overload::Observe(room->mPace, look.mView, look.mBasis, now);
  if (room->mQueue.mRequests.empty() && !overload::IsHolding(room->mPace, look.mView, now)) {
    overload::OnSent(room->mPace, now);
    co_return std::nullopt;
  }
  waiting_call waiting(room, aCall);
  if (aLast == attempt_result::NotRun) {
    const double point = std::uniform_real_distribution<double>()(aState.mRandom);
    co_await AwaitTimer(aCall, waiting, BackOff(aCall.mRefusals, look.mBasis.mAnswerTime, point));
    look = LookAtPlaces(aState, aCall, net::Now());
  }
  look = co_await AwaitTurn(aState, aCall, waiting, look);

  const char* const outcome = ReasonOf(waiting, aCall);
  const time_point end = net::Now();
  const std::string& service = aCall.mService.Value();
  if (!waiting.mIsLetGo || end - waiting.mSince >= kLoggedWait) {
    observe::event_line("place_wait")
      .Text("request", aCall.mHeader.mAttempt)
      .Text("service", service)
      .Text("outcome", outcome)
      .Millis("waited_ms", end - waiting.mSince)
      .Number("waiting", static_cast<std::int64_t>(room->mQueue.mRequests.size()))
      .Real("per_second", room->mPace.mPerSecond)
      .Number("places", look.mView.mPlaces)
      .Real("used_share", look.mView.mUsedShare)
      .Millis("left_ms", aCall.mDeadline - end)
      .Write();
  }
  aState.mMetrics.Count("tamarackweir_place_waits_total",
                        { { "service", service }, { "outcome", outcome } });
  if (!waiting.mRefused || aCall.mCaller->IsGone() || aCall.mIsWithdrawn) {
    if (IsQuarantined(aState, aCall)) {
      // No Retry-After, because a retry would be refused as well.
      refusal quarantined = RefusalAfter(aLast, aCall.mRuns > 0, {}, 0);
      quarantined.mRetryAfter.reset();
      co_return quarantined;
    }
    co_return std::nullopt;
  }
  const duration left =
    aCall.mHeader.mTimeLeft.value_or(aCall.mRoute->mTimeout) - (end - aCall.mRequest->mArrived);
  const retry_outlook outlook{ .mTimeLeft = left,
                               .mAnswerTime = look.mBasis.mAnswerTime,
                               .mOpensIn = PromiseRoom(*room, look.mView, end) };
  const double point = std::uniform_real_distribution<double>()(aState.mRandom);
  refusal refused = RefusalAfter(aLast, aCall.mRuns > 0, outlook, point);
  if (refused.mNotRun) {
    refused.mTitle = "the places of all backend servers are taken";
  }
  co_return refused;
}

void RecordPlace(gateway_state& aState, call& aCall, const attempt_outcome& aOutcome)
{
  if (aOutcome.mAttempt == nullptr ||
      (aOutcome.mResult != attempt_result::NotRun && aOutcome.mResult != attempt_result::Success) ||
      !AreAnyPlacesStated(aState, aCall.mService)) {
    return;
  }
  const time_point now = net::Now();
  const std::shared_ptr<waiting_room> room = RoomOf(aState, aCall);
  if (aOutcome.mResult == attempt_result::Success && room->mPace.mPerSecond <= 0) {
    return;
  }
  const room_look look = LookAtPlaces(aState, aCall, now);
  if (aOutcome.mResult == attempt_result::Success) {
    overload::OnAnswered(room->mPace, look.mView, look.mBasis);
    return;
  }
  if (aOutcome.mHeader.mWrongServer) {
    return;
  }
  overload::OnRejected(room->mPace, look.mView, look.mBasis, now);
  overload::Observe(room->mPace, look.mView, look.mBasis, now);
  if (overload::IsHolding(room->mPace, look.mView, now)) {
    std::erase(aCall.mTriedServers, aOutcome.mAttempt->Server().mAnnounced.mId);
  }
}

void SetWaitingMetrics(gateway_state& aState, time_point aNow)
{
  for (const auto& [name, room] : aState.mWaitingRooms) {
    const observe::labels labels{ { "room", name } };
    duration longest{};
    for (const auto& [id, waiting] : room->mCalls) {
      longest = std::max(longest, aNow - waiting->mSince);
    }
    aState.mMetrics.Set("tamarackweir_place_waiting",
                        static_cast<double>(room->mQueue.mRequests.size()), labels);
    aState.mMetrics.Set("tamarackweir_place_longest_wait_seconds",
                        std::chrono::duration<double>(longest).count(), labels);
    aState.mMetrics.Set("tamarackweir_place_sends_per_second", room->mPace.mPerSecond, labels);
  }
}

} // namespace tamarackweir::gateway
