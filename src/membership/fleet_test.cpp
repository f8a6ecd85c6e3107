#include "membership/fleet_simulation_test.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <malloc.h>
#include <numeric>

using namespace tamarackweir;
using namespace tamarackweir::membership;
using namespace tamarackweir::membership::simulation;

namespace {

// Bytes that the process has allocated, on the heap and in memory-mapped blocks.
std::size_t AllocatedBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// The limit on control traffic per instance, sent and received.
constexpr double kMaxBytesPerSecond = 3000;
constexpr duration kMeasured = 40s;

double MeanBytesPerSecond(const fleet& aFleet, duration aFor)
{
  const auto sum = std::accumulate(aFleet.mBytes.begin(), aFleet.mBytes.end(), std::uint64_t{ 0 });
  return static_cast<double>(sum) / static_cast<double>(aFleet.mBytes.size()) /
         std::chrono::duration<double>(aFor).count();
}

} // namespace

// Guards against gossip that exceeds the limit on control traffic when there are many rumours:
// every instance spreads new evidence each second, far above the load of the design.
TEST_CASE("control traffic stays within 3 KB per second per instance")
{
  for (const std::size_t count : { 8U, 64U, 370U }) {
    CAPTURE(count);
    fleet quiet = MakeFleet(count, 0, 1);
    Run(quiet, kMeasured);
    fleet busy = MakeFleet(count, 0, 2);
    std::uint64_t version = 0;
    for (int second = 0; second < kMeasured / 1s; ++second) {
      ++version;
      for (std::size_t i = 0; i < count; ++i) {
        Spread(busy.mInstances[i],
               OpaqueRumour(rumour_kind::Evidence, "clerk-small@v2/" + IdOf(i), version,
                            "good=1234567,bad=12345"),
               busy.mNow);
      }
      Run(busy, 1s);
    }
    const double maximum =
      static_cast<double>(*std::max_element(busy.mBytes.begin(), busy.mBytes.end())) /
      std::chrono::duration<double>(kMeasured).count();
    MESSAGE(count, " instances: ", MeanBytesPerSecond(quiet, kMeasured), " B/s without rumours, ",
            MeanBytesPerSecond(busy, kMeasured), " B/s mean and ", maximum,
            " B/s maximum with new evidence per instance and second");
    CHECK(MeanBytesPerSecond(quiet, kMeasured) <= kMaxBytesPerSecond);
    CHECK(MeanBytesPerSecond(busy, kMeasured) <= kMaxBytesPerSecond);
    CHECK(maximum <= kMaxBytesPerSecond);
  }
}

// Guards against rumours that don't reach all instances, or take longer than the 3 s allowed for a
// leaving server.
TEST_CASE("a rumour reaches all of 370 instances in time under loss")
{
  struct limit
  {
    double mLoss;
    duration mWithin;
  };
  for (const limit& each : { limit{ 0, 3s }, limit{ 0.05, 3s }, limit{ 0.2, 4s } }) {
    const double loss = each.mLoss;
    std::vector<double> seconds;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(seed);
      CAPTURE(loss);
      fleet simulated = MakeFleet(370, loss, seed);
      simulated.mDuplicates = 0.05;
      Run(simulated, 500ms);
      const rumour leaving = ServerLeavingRumour(server_id("runner-1"), start_epoch(seed));
      const time_point from = simulated.mNow;
      Perform(simulated, 0, Spread(simulated.mInstances[0], leaving, simulated.mNow));
      Run(simulated, 10s, [&] { return CountReached(simulated, leaving.mKey) == 370; });
      CHECK(CountReached(simulated, leaving.mKey) == 370);
      CHECK(simulated.mNow - from <= each.mWithin);
      seconds.push_back(std::chrono::duration<double>(simulated.mNow - from).count());
    }
    std::sort(seconds.begin(), seconds.end());
    MESSAGE("370 instances, loss ", loss, ": all reached after ", seconds[10], " s in the median, ",
            seconds.back(), " s at most of 20 seeds");
  }
}

// Guards against an instance that starts after the others stopped sending a rumour and never learns
// it: digests that differ must cause repairs.
TEST_CASE("an instance that starts later learns rumours by repair only")
{
  for (const bool repair : { false, true }) {
    fleet simulated = MakeFleet(64, 0.05, 3);
    for (state& each : simulated.mInstances) {
      each.mOptions.mRepair = repair;
    }
    simulated.mRunning[63] = false;
    const rumour leaving = ServerLeavingRumour(server_id("runner-1"), start_epoch(9));
    Perform(simulated, 0, Spread(simulated.mInstances[0], leaving, simulated.mNow));
    Run(simulated, 30s);
    CHECK(CountReached(simulated, leaving.mKey) == 63);
    simulated.mRunning[63] = true;
    const time_point from = simulated.mNow;
    Run(simulated, 10s, [&] { return CountReached(simulated, leaving.mKey) == 64; });
    CHECK(CountReached(simulated, leaving.mKey) == (repair ? 64 : 63));
    MESSAGE("repairs ", repair, ": a late instance waited ",
            std::chrono::duration<double>(simulated.mNow - from).count(), " s");
  }
}

// Guards against confirmations that become older than the freshness bound of 4 s between polls: the
// fleet polls the head 8 times a second in total, and gossip spreads the confirmations.
TEST_CASE("confirmations stay fresh at 370 instances with 8 polls per second in the fleet")
{
  for (const double loss : { 0.0, 0.05 }) {
    fleet simulated = MakeFleet(370, loss, 4);
    std::vector<double> ages;
    std::size_t next = 0;
    time_point nextPoll = simulated.mNow;
    const time_point settled = simulated.mNow + 5s;
    int step = 0;
    Run(simulated, 30s, [&] {
      if (simulated.mNow >= nextPoll) {
        nextPoll += 125ms;
        simulated.mConfirmedAt[next++ % 370] = simulated.mNow;
      }
      if (simulated.mNow > settled && ++step % 20 == 0) {
        for (const time_point at : simulated.mConfirmedAt) {
          ages.push_back(std::chrono::duration<double>(simulated.mNow - at).count());
        }
      }
      return false;
    });
    std::sort(ages.begin(), ages.end());
    const double p999 = ages[ages.size() * 999 / 1000];
    MESSAGE("loss ", loss, ": confirmation age ", ages[ages.size() / 2], " s in the median, ", p999,
            " s at p99.9, ", ages.back(), " s at most");
    CHECK(p999 <= 4.0);
  }
}

// Guards against state that exceeds the 64 MB of an instance.
TEST_CASE("memory per member, server and rumour stays small")
{
  std::vector<listed_instance> entries = ListOf(371);
  std::vector<listed_instance> all = entries;
  for (std::size_t i = 0; i < 1300; ++i) {
    std::string id = "sapporo-a-runner-";
    all.push_back({ id += std::to_string(i),
                    role::Engine,
                    AddressOf(i),
                    "",
                    data_centre_id("sapporo-a"),
                    false,
                    {} });
  }
  state self =
    Start({}, instance_id(IdOf(0)), start_epoch(1), data_centre_id("0"), time_point{ 1h });
  const std::size_t before = AllocatedBytes();
  OnInstanceList(self, entries, time_point{ 1h });
  const std::size_t members = AllocatedBytes() - before;
  OnInstanceList(self, all, time_point{ 1h });
  const std::size_t servers = AllocatedBytes() - before - members;
  for (std::size_t i = 0; i < self.mOptions.mMaxStoredRumours + 10; ++i) {
    Spread(self, OpaqueRumour(rumour_kind::Evidence, IdOf(i), 1, std::string(96, 'x')),
           time_point{ 1h });
  }
  CHECK(self.mRumours.size() == self.mOptions.mMaxStoredRumours);
  const std::size_t total = AllocatedBytes() - before;
  MESSAGE("bytes: ", members / 370, " per member, ", servers / 1300, " per server, ",
          (total - members - servers) / self.mOptions.mMaxStoredRumours, " per rumour, ", total,
          " at 370 members, 1300 servers and ", self.mOptions.mMaxStoredRumours, " rumours");
  CHECK(total < 4'000'000);
}

// Guards against results of gossip that depend on the order, loss or duplication of messages.
TEST_CASE("all instances converge despite loss and duplication over 100 seeds")
{
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    fleet simulated = MakeFleet(12, 0.3, seed);
    simulated.mDuplicates = 0.2;
    simulated.mMaxDelay = 400ms;
    for (int i = 0; i < 10; ++i) {
      const std::size_t at = simulated.mRandom() % 12;
      Perform(simulated, at,
              Spread(simulated.mInstances[at],
                     ServerColdRumour(server_id(std::to_string(simulated.mRandom() % 3)),
                                      start_epoch(7), instance_id(IdOf(simulated.mRandom() % 12)),
                                      fencing_number(simulated.mRandom() % 4)),
                     simulated.mNow));
      Run(simulated, 200ms);
    }
    Run(simulated, 20s);
    for (const state& each : simulated.mInstances) {
      CHECK(each.mRumours.size() == simulated.mInstances[0].mRumours.size());
      for (const auto& [key, held] : simulated.mInstances[0].mRumours) {
        const auto found = each.mRumours.find(key);
        REQUIRE(found != each.mRumours.end());
        CHECK(found->second.mRumour.mPayload == held.mRumour.mPayload);
      }
    }
  }
}
