#include "overload/waiting_queue.h"

#include "overload/send_pace.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace tamarackweir;
using namespace tamarackweir::overload;

namespace {

constexpr time_point kStart = time_point(100s);

waiting_request Request(waiting_id aId, std::uint64_t aAccount = 1)
{
  return {
    .mId = aId, .mDeadline = kStart + 1s, .mLatest = kStart + 1s, .mParties = { aAccount, 1, 1 }
  };
}

std::vector<waiting_id> TakeAll(waiting_queue& aQueue)
{
  std::vector<waiting_id> order;
  while (const auto next = TakeNext(aQueue)) {
    order.push_back(*next);
  }
  return order;
}

const place_view kTaken{ .mPlaces = 24,
                         .mAreTaken = true,
                         .mUsedShare = 1.2,
                         .mReportedAt = kStart };
const pace_basis kBasis{ .mAnswerTime = 30ms, .mInstances = 90 };

} // namespace

// Guards against an order in which urgent callers, or those who came back, wait behind others.
TEST_CASE("requests go by urgency, then by the time that their callers have to spare")
{
  waiting_queue queue;
  waiting_request urgent = Request(3);
  urgent.mUrgency = 1;
  waiting_request returned = Request(4);
  returned.mDeadline = kStart + 400ms;
  for (const waiting_request& request : { Request(1), Request(2), urgent, returned }) {
    CHECK_FALSE(Insert(queue, request));
  }
  CHECK(TakeAll(queue) == std::vector<waiting_id>{ 3, 4, 1, 2 });
  CHECK(queue.mBytes == 0);
}

// Guards against parties whose requests are always overtaken by more urgent ones.
TEST_CASE("each account, route and session has a request let go within its bound")
{
  constexpr std::uint64_t kHot = 5;
  for (std::size_t kind = 0; kind < kWaitingParties; ++kind) {
    waiting_queue queue;
    waiting_id id = 0;
    std::uint64_t longest = 0;
    std::map<std::uint64_t, std::uint64_t> servedAt;
    // Of seven parties that wait all the time, all but one are more urgent.
    for (std::uint64_t party = 1; party <= 7; ++party) {
      for (std::uint64_t i = 0; i < (party == kHot ? 6U : 1U); ++i) {
        waiting_request request = Request(++id);
        request.mUrgency = party == 1 ? 9 : 2;
        request.mParties[kind] = party;
        CHECK_FALSE(Insert(queue, request));
      }
    }
    for (std::uint64_t step = 1; step <= 1000; ++step) {
      const std::vector<waiting_request> before = queue.mRequests;
      const waiting_id taken = *TakeNext(queue);
      waiting_request again = *std::find_if(
        before.begin(), before.end(), [taken](const auto& aOne) { return aOne.mId == taken; });
      const std::uint64_t party = again.mParties[kind];
      longest = std::max(longest, step - servedAt[party]);
      servedAt[party] = step;
      again.mId = ++id;
      CHECK_FALSE(Insert(queue, again));
    }
    CHECK(servedAt.size() == 7);
    for (const auto& [party, step] : servedAt) {
      longest = std::max(longest, 1000 - step);
    }
    CHECK(longest <= kTurnEvery * kWaitingParties * 7);
  }
}

// Guards against an account with six times its traffic that fills the queue.
TEST_CASE("a full queue takes from the account with the most requests, and one request at most")
{
  waiting_queue queue{ .mMaxRequests = 12, .mMaxBytes = 100 };
  waiting_id id = 0;
  std::map<std::uint64_t, int> refused;
  for (int round = 0; round < 3; ++round) {
    for (const std::uint64_t account : { 1, 1, 1, 1, 1, 1, 2, 3, 4 }) {
      refused[account] += Insert(queue, Request(++id, account)) ? 1 : 0;
    }
  }
  std::map<std::uint64_t, int> waiting;
  for (const waiting_request& request : queue.mRequests) {
    ++waiting[request.mParties[0]];
  }
  CHECK(queue.mRequests.size() == 12);
  CHECK(waiting[2] == 3);
  CHECK(waiting[3] == 3);
  CHECK(waiting[4] == 3);
  waiting_request large = Request(++id, 9);
  large.mBytes = 101;
  CHECK(Insert(queue, large)->mId == id);
  CHECK(queue.mRequests.size() == 12);
}

// Guards against requests that are held until their time has passed, and then refused.
TEST_CASE("a request that can't be let go in its time is refused at once")
{
  waiting_queue queue;
  for (waiting_id id = 1; id <= 5; ++id) {
    waiting_request request = Request(id);
    request.mLatest = kStart + 100ms;
    Insert(queue, request);
  }
  CHECK(RemoveHopeless(queue, kStart + 20ms, 40ms) == std::vector<waiting_id>{ 4, 5 });
  CHECK(RemoveLate(queue, kStart + 100ms).empty());
  CHECK(Remove(queue, 2)); // its caller has left
  CHECK_FALSE(Remove(queue, 2));
  CHECK(RemoveLate(queue, kStart + 101ms) == std::vector<waiting_id>{ 1, 3 });
}

// Guards against calls that are held by an instance that knows nothing, or while servers idle.
TEST_CASE("nothing is held without knowledge, nor while a server has places")
{
  send_pace pace;
  const place_view unknown;
  Observe(pace, unknown, kBasis, kStart);
  CHECK_FALSE(IsHolding(pace, unknown, kStart));
  place_view room = kTaken;
  room.mAreTaken = false;
  Observe(pace, room, kBasis, kStart);
  CHECK_FALSE(IsHolding(pace, room, kStart));
  Observe(pace, kTaken, { .mAnswerTime = 0ms }, kStart);
  CHECK_FALSE(IsHolding(pace, kTaken, kStart));

  Observe(pace, kTaken, kBasis, kStart);
  CHECK(IsHolding(pace, kTaken, kStart));
  place_view idle = kTaken;
  idle.mIsAnyIdle = true;
  CHECK_FALSE(IsHolding(pace, idle, kStart));
  CHECK_FALSE(IsHolding(pace, kTaken, kStart + kTakenMemory + 1us));
  room.mReportedAt = kStart + 400ms;
  room.mUsedShare = 0.3;
  Observe(pace, room, kBasis, kStart + 400ms);
  CHECK_FALSE(IsHolding(pace, room, kStart + 400ms));
}

// Guards against a pace that rejections leave as it is, or that never rises again.
TEST_CASE("the pace falls with rejections and rises with answers")
{
  send_pace pace;
  Observe(pace, kTaken, kBasis, kStart);
  const double first = pace.mPerSecond;
  OnRejected(pace, kTaken, kBasis, kStart);
  CHECK(pace.mPerSecond < first);
  const double lowered = pace.mPerSecond;
  OnAnswered(pace, kTaken, kBasis);
  CHECK(pace.mPerSecond > lowered);
  for (int i = 0; i < 1000; ++i) {
    OnRejected(pace, kTaken, kBasis, kStart);
  }
  CHECK(pace.mPerSecond > 0);
  CHECK(NextSendAt(pace, kStart) < kStart + 10s);
}

// Guards against sessions that are starved by callers without a session, each of which counts as a
// session that was never served.
TEST_CASE("a session gets its turns among callers without one")
{
  waiting_queue queue;
  waiting_id last = 0;
  const auto insert = [&queue, &last](int aUrgency, std::uint64_t aSession) {
    (void)Insert(queue, { .mId = ++last, .mUrgency = aUrgency, .mParties = { 1, 1, aSession } });
    return last;
  };
  constexpr std::uint64_t kSession = 7;
  waiting_id ofSession = insert(9, kSession);
  int served = 0;
  for (int i = 0; i < 1200; ++i) {
    while (queue.mRequests.size() < 5) {
      insert(0, 1000 + last);
    }
    if (TakeNext(queue) == ofSession) {
      ++served;
      ofSession = insert(9, kSession);
    }
  }
  // Of 100 session turns, at least one for each of the five that wait.
  CHECK(served >= 20);
}
