#include "gateway/waiting_room.h"

#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::gateway;

namespace {

constexpr time_point kStart = time_point(100s);
constexpr overload::pace_basis kBasis{ .mAnswerTime = 30ms, .mInstances = 90 };

overload::place_view TakenView(time_point aNow)
{
  return { .mPlaces = 24, .mAreTaken = true, .mUsedShare = 1, .mReportedAt = aNow };
}

overload::waiting_request RequestAt(overload::waiting_id aId, time_point aNow)
{
  return {
    .mId = aId, .mDeadline = aNow + 1500ms, .mLatest = aNow + 90ms, .mParties = { aId, 1, aId }
  };
}

} // namespace

// Guards against refusals without a Retry-After long after a burst whose callers are gone.
TEST_CASE("room that refused callers could not use is not promised to them")
{
  waiting_room room;
  time_point now = kStart;
  for (int i = 0; i < 200; ++i, now += 50ms) {
    overload::Observe(room.mPace, TakenView(now), kBasis, now);
    (void)PromiseRoom(room, TakenView(now), now);
  }
  now += 10s;
  overload::Observe(room.mPace, TakenView(now), kBasis, now);
  CHECK(PromiseRoom(room, TakenView(now), now) < 1500ms);
}

// Guards against held calls that are all sent to full servers at once, because a call of a route
// whose answer time is not known came.
TEST_CASE("a call whose answer time is not known does not let go of the others")
{
  waiting_room room;
  const time_point now = kStart;
  std::size_t letGo = 0;
  for (overload::waiting_id id = 1; id <= 60; ++id) {
    overload::waiting_request request = RequestAt(id, now);
    request.mLatest = now + 5s;
    letGo += Enter(room, request, TakenView(now), kBasis, now).mLetGo.size();
  }
  REQUIRE(letGo < 10);
  overload::pace_basis unknown = kBasis;
  unknown.mAnswerTime = 0ms;
  const ended_waits ended = Enter(room, RequestAt(61, now), TakenView(now), unknown, now);
  CHECK(ended.mLetGo.size() <= 1);
}

// Guards against an order that one caller with a distant deadline changes for good.
TEST_CASE("one distant deadline does not turn all later callers into returning ones")
{
  constexpr std::uint64_t kRoute = 1;
  waiting_room room;
  overload::Observe(room.mPace, TakenView(kStart), kBasis, kStart);
  (void)DeadlineInOrder(room, kRoute, kStart, 3600s, kStart);
  const time_point now = kStart + 60s;
  overload::Observe(room.mPace, TakenView(now), kBasis, now);
  for (int i = 0; i < 10; ++i) { // More than the burst of returning callers.
    (void)DeadlineInOrder(room, kRoute, now, 1500ms, now);
  }
  const time_point fresh = DeadlineInOrder(room, kRoute, now, 1500ms, now);
  CHECK(fresh < DeadlineInOrder(room, kRoute, now, 3600s, now));
}
