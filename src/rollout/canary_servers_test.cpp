#include "rollout/canary_servers.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace tamarackweir;
using namespace tamarackweir::rollout;

namespace {

constexpr time_point kStart = time_point(100s);

shift MakeShift(duration aLength)
{
  shift result{ .mOrder = { .mService = service_id("llm"),
                            .mNewVersion = version_id("v2"),
                            .mDuration = aLength,
                            .mOrderId = 5 },
                .mStartedAt = kStart };
  result.mProgress = shift_progress{ .mOrderId = 5 };
  return result;
}

std::vector<canary_candidate> Servers(std::size_t aCount)
{
  std::vector<canary_candidate> servers;
  for (std::size_t i = 0; i < aCount; ++i) {
    servers.push_back({ .mId = server_id("s-" + std::to_string(i)) });
  }
  return servers;
}

} // namespace

// Guards against a canary that is spread over all new servers and loads none of them.
TEST_CASE("each server in use carries the load of a peak after success, and little more")
{
  for (const std::size_t servers : { 2U, 3U, 10U, 23U, 45U, 100U, 200U }) {
    for (double share = 0.01; share <= 1; share += 0.01) {
      const double used = ShareForWholeServers(share, servers);
      const auto wanted = used * static_cast<double>(servers) / CanaryLoad(used);
      const auto count = static_cast<double>(CanaryServerCount(used, servers));
      CAPTURE(servers);
      CAPTURE(share);
      CHECK(used <= share);
      if (wanted >= 1) {
        CHECK(wanted / count >= 1);
        CHECK(wanted / count <= 1.2); // the margin for new sessions, at a smaller `CanaryLoad`
      } else {
        CHECK(count == 1);
      }
    }
  }
}

// Guards against instances that load different servers because they list them in another order.
TEST_CASE("all instances choose the same servers, and skip unusable ones")
{
  const shift running = MakeShift(20s);
  std::vector<canary_candidate> servers = Servers(115);
  const auto first = CanaryServers(running, {}, servers, kStart + 4s);
  std::reverse(servers.begin(), servers.end());
  CHECK(CanaryServers(running, {}, servers, kStart + 4s) == first);
  REQUIRE(first.size() == 4);
  for (canary_candidate& server : servers) {
    server.mIsUsable = server.mId != first.front();
  }
  const auto others = CanaryServers(running, {}, servers, kStart + 4s);
  CHECK(others.size() == 3); // 0.0675 of the 114 usable ones, at 1.93 times the load
  CHECK(std::equal(others.begin(), others.end(), first.begin() + 1));
  for (canary_candidate& server : servers) {
    server.mIsUsable = false;
  }
  CHECK(CanaryServers(running, {}, servers, kStart + 4s).empty());
}

// Guards against a fault of the version that looks like one of the only server in use.
TEST_CASE("a canary on one server uses several ones before the ramp, also in a short roll-out")
{
  for (const duration length : { 11s, 20s, 600s }) {
    for (const std::size_t servers : { 2U, 3U, 10U }) {
      const shift running = MakeShift(length);
      const exposure_schedule schedule = ScheduleOf(running, {});
      std::set<server_id> used;
      for (time_point now = kStart; ElapsedFraction(running, now) < schedule.mRampStart;
           now += 100ms) {
        const auto chosen = CanaryServers(running, {}, Servers(servers), now);
        REQUIRE(chosen.size() == 1);
        used.insert(chosen.begin(), chosen.end());
      }
      CHECK(used.size() >= 2);
    }
  }
}

// Guards against a load step on a server that is known to fail, or that lacks results to compare.
TEST_CASE("a load step uses the server that the plan names, one turn long at least")
{
  shift running = MakeShift(60s);
  const server_id named("s-2");
  running.mProgress->mLoadStep = load_step{ .mShare = 0.4, .mLength = 4s, .mFirst = named };
  const exposure_schedule schedule = ScheduleOf(running, {});
  REQUIRE(HasLoadStep(schedule));
  std::vector<canary_candidate> servers = Servers(3);
  for (const double part : { 0.01, 0.5, 0.99 }) {
    const time_point now =
      kStart + std::chrono::duration_cast<duration>(
                 running.mOrder.mDuration *
                 (schedule.mLoadStart + part * (schedule.mRampStart - schedule.mLoadStart)));
    CHECK(CanaryServers(running, {}, servers, now) == std::vector<server_id>{ named });
    servers[2].mIsUsable = false;
    CHECK(CanaryServers(running, {}, servers, now).front() != named);
    servers[2].mIsUsable = true;
  }
}

// Guards against streams and cached prompts that move at each step of the ramp.
TEST_CASE("in the ramp the set only grows, up to all servers")
{
  shift running = MakeShift(20s);
  const exposure_schedule schedule = ScheduleOf(running, {});
  running.mPassedAt =
    kStart + std::chrono::duration_cast<duration>(running.mOrder.mDuration * schedule.mRampStart);
  std::vector<server_id> last;
  for (time_point now = *running.mPassedAt + 1ms; now < kStart + 20s; now += 20ms) {
    const auto chosen = CanaryServers(running, {}, Servers(45), now);
    REQUIRE(chosen.size() >= last.size());
    CHECK(std::equal(last.begin(), last.end(), chosen.begin()));
    last = chosen;
  }
  CHECK(last.size() == 45);
}
