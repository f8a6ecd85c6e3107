#include "balancing/simulation_test.h"
#include "membership/membership.h"

#include <chrono>
#include <doctest/doctest.h>
#include <malloc.h>
#include <map>
#include <numeric>

using namespace tamarackweir;
using namespace tamarackweir::balancing;
using namespace tamarackweir::balancing::simulation;

namespace {

// Bytes allocated on the heap and in mappings of large blocks.
std::size_t AllocatedBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

const std::map<policy, std::string> kPolicyNames{ { policy::PowerOfTwo, "power of two choices" },
                                                  { policy::LeastReported, "least reported" },
                                                  { policy::Random, "random" },
                                                  { policy::RoundRobin, "round robin" } };

double Seconds(duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

// Returns the requests served in one data centre since the last call and resets all counters.
std::uint64_t TakeServed(fleet& aFleet, std::size_t aCentre)
{
  std::uint64_t served = 0;
  for (std::size_t i = 0; i < aFleet.mEngines.size(); ++i) {
    if (i % aFleet.mSetup.mDataCentres == aCentre) {
      served += aFleet.mEngines[i].mServed;
    }
    aFleet.mEngines[i].mServed = 0;
  }
  return served;
}

} // namespace

// Guards against herding: all instances see the same stale report and send to the same server.
TEST_CASE("power of two choices avoids the herding of least reported load on stale reports")
{
  for (const int seconds : { 1, 4 }) {
    std::map<policy, std::int64_t> longest;
    for (const auto& [testedPolicy, name] : kPolicyNames) {
      setup config;
      config.mOptions.mPolicy = testedPolicy;
      config.mServiceTime = std::chrono::seconds(seconds);
      config.mRequestsPerSecond = 750.0 / seconds;
      fleet run = MakeFleet(config);
      RunFor(run, 20s, false);
      RunFor(run, 20s, true);
      longest[testedPolicy] = QueueLengthQuantile(run, 1);
      MESSAGE("64 instances, 100 servers, requests of ", seconds, " s, ", name, ": queue length ",
              QueueLengthQuantile(run, 0.99), " at p99, ", longest[testedPolicy], " at most");
    }
    CHECK(longest[policy::LeastReported] > 2 * longest[policy::PowerOfTwo]);
    CHECK(longest[policy::PowerOfTwo] < longest[policy::Random]);
    CHECK(longest[policy::PowerOfTwo] < longest[policy::RoundRobin]);
  }
}

// Guards against growing queues at the design size: 9,700 requests/s, 1,300 servers, 370 instances,
// 18 data centres, reports up to 1 s old.
TEST_CASE("power of two choices keeps queues short at 1300 servers")
{
  std::map<policy, std::int64_t> longest;
  for (const auto& [testedPolicy, name] : kPolicyNames) {
    setup config{ .mInstances = 370,
                  .mServers = 1300,
                  .mDataCentres = 18,
                  .mRegions = 5,
                  .mRequestsPerSecond = 9700,
                  .mOptions = {} };
    config.mOptions.mPolicy = testedPolicy;
    fleet run = MakeFleet(config);
    RunFor(run, 3s, false);
    RunFor(run, 3s, true);
    longest[testedPolicy] = QueueLengthQuantile(run, 1);
    MESSAGE("370 instances, 1300 servers, ", name, ": queue length ",
            QueueLengthQuantile(run, 0.99), " at p99, ", longest[testedPolicy], " at most");
  }
  CHECK(longest[policy::PowerOfTwo] < longest[policy::Random]);
  CHECK(longest[policy::PowerOfTwo] < longest[policy::LeastReported]);
}

// Guards against choices that cost more than 1.3% of a core at 26 choices/s per instance.
TEST_CASE("a choice among 1300 servers takes microseconds")
{
  fleet run = MakeFleet(
    { .mInstances = 1, .mServers = 1300, .mDataCentres = 18, .mRegions = 5, .mOptions = {} });
  state& chooser = run.mInstances[0];
  for (const duration gap : { duration(38ms), duration(100us) }) {
    time_point now = run.mNow;
    const int choices = 5000;
    const auto from = std::chrono::steady_clock::now();
    for (int i = 0; i < choices; ++i) {
      now += gap;
      const auto picked = Choose(chooser, { Version(), {}, {}, false }, now, run.mRandom);
      REQUIRE(picked);
      OnDispatch(chooser, picked->mServer, now);
      OnRequestEnded(chooser, picked->mServer, now, false, now);
    }
    const std::chrono::duration<double, std::micro> total = std::chrono::steady_clock::now() - from;
    const double spent = total.count() / choices;
    MESSAGE(spent, " us per choice and dispatch, one every ", Seconds(gap) * 1e3, " ms");
    // The bound allows for a busy machine: 200 us at 26 choices/s are 0.5% of a core.
    CHECK(spent < 200);
  }
}

// Guards against state that exceeds an instance's 64 MB.
TEST_CASE("memory per known server stays small")
{
  const std::size_t before = AllocatedBytes();
  fleet run = MakeFleet({ .mInstances = 1, .mServers = 1300, .mDataCentres = 18, .mOptions = {} });
  const std::size_t idle = AllocatedBytes() - before;
  std::uint64_t prefix = 0;
  for (std::size_t i = 0; i < 1300; ++i) {
    cache_event event;
    event.mServer = ServerOf(i);
    event.mEpoch = start_epoch(1);
    event.mSequence = 1;
    for (std::size_t k = 0; k < options{}.mMaxPrefixesPerServer; ++k) {
      event.mAdded.push_back(++prefix);
    }
    OnCacheEvent(run.mInstances[0], event);
  }
  const std::size_t full = AllocatedBytes() - before;
  MESSAGE("bytes per server: ", idle / 1300, " without prefixes, ", full / 1300, " with ",
          options{}.mMaxPrefixesPerServer, " prefixes (with the simulated servers)");
  CHECK(full < 20'000'000);
}

// Guards against requests to a broken server, and against a server that is never retried.
TEST_CASE("ejection keeps most requests from a broken server and lets it return")
{
  for (const bool eject : { false, true }) {
    setup config{ .mInstances = 1, .mServers = 10, .mOptions = {} };
    config.mOptions.mFailuresToEject = eject ? 3 : 1'000'000;
    fleet run = MakeFleet(config);
    state& chooser = run.mInstances[0];
    int failed = 0;
    int returned = 0;
    for (int i = 0; i < 1800; ++i) {
      run.mNow += 100ms;
      const auto picked = Choose(chooser, { Version(), {}, {}, false }, run.mNow, run.mRandom);
      REQUIRE(picked);
      const bool broken = picked->mServer == ServerOf(0) && i < 600;
      OnDispatch(chooser, picked->mServer, run.mNow);
      OnRequestEnded(chooser, picked->mServer, run.mNow, broken, run.mNow);
      failed += broken ? 1 : 0;
      returned += picked->mServer == ServerOf(0) && i >= 1200 ? 1 : 0;
    }
    MESSAGE("ejection ", eject, ": ", failed, " of 600 requests failed in 60 s, ", returned,
            " of the last 600 went to the repaired server");
    CHECK((failed <= 10) == eject);
    CHECK(returned >= 30);
  }
}

// Guards against one popular prefix overloading the server that holds it.
TEST_CASE("affinity is skipped when the holder's load exceeds the bound")
{
  for (const bool bounded : { false, true }) {
    setup config{ .mInstances = 1, .mServers = 10, .mOptions = {} };
    config.mOptions.mAffinityBound = bounded ? 1.25 : 1e9;
    fleet run = MakeFleet(config);
    state& chooser = run.mInstances[0];
    OnCacheEvent(chooser, { ServerOf(0), start_epoch(1), 1, { 42 }, {} });
    for (int i = 0; i < 100; ++i) {
      run.mNow += 30ms;
      const auto picked = Choose(chooser, { Version(), { 42 }, {}, false }, run.mNow, run.mRandom);
      REQUIRE(picked);
      OnDispatch(chooser, picked->mServer, run.mNow);
    }
    const auto load =
      EstimatedLoad(chooser, chooser.mServers[chooser.mServerIndices.at(ServerOf(0))]);
    MESSAGE("bound ", bounded, ": the holder runs ", load, " of 100 requests on 10 servers");
    CHECK(load == doctest::Approx(bounded ? 13 : 100).epsilon(0.08));
  }
}

// Guards against requests to a data centre that operators took out of service, and against a burst
// at its return: without the ramp its idle servers attract a full share at once.
TEST_CASE("a data centre is taken out of service at once and ramps up when it returns")
{
  for (const bool ramp : { false, true }) {
    setup config{
      .mInstances = 30, .mServers = 90, .mDataCentres = 3, .mRequestsPerSecond = 500, .mOptions = {}
    };
    config.mOptions.mRampDuration = ramp ? duration(30s) : duration(1us);
    fleet run = MakeFleet(config);
    RunFor(run, 10s, false);
    run.mCentres[0].mInService = false;
    ApplyDataCentres(run);
    TakeServed(run, 0);
    RunFor(run, 20s, false);
    CHECK(TakeServed(run, 0) == 0);
    CHECK(run.mRejected == 0);
    run.mCentres[0].mInService = true;
    ApplyDataCentres(run);
    std::vector<double> shares;
    for (int i = 0; i < 8; ++i) {
      RunFor(run, 5s, false);
      shares.push_back(static_cast<double>(TakeServed(run, 0)) / (500.0 * 5));
    }
    MESSAGE("ramp ", ramp, ": share of the traffic in the first 5 s ", shares[0], ", in 15-20 s ",
            shares[3], ", in 35-40 s ", shares[7]);
    CHECK(shares[7] > 0.25);
    if (ramp) {
      CHECK(shares[0] < 0.1);
      CHECK(shares[3] < 0.25);
    } else {
      CHECK(shares[0] > 0.25);
    }
  }
}

// Guards against overload of the local data centre while others are idle.
TEST_CASE("traffic spills over when the local data centre is overloaded")
{
  for (const bool spill : { false, true }) {
    setup config{
      .mInstances = 30, .mServers = 90, .mDataCentres = 3, .mRequestsPerSecond = 500, .mOptions = {}
    };
    config.mOptions.mSpillMargin = spill ? 0.25 : 1e9;
    fleet run = MakeFleet(config);
    // All requests arrive at the instances of one data centre with 300 of 900 slots.
    std::vector<state> local;
    for (std::size_t i = 0; i < run.mInstances.size(); i += 3) {
      local.push_back(std::move(run.mInstances[i]));
    }
    run.mInstances = std::move(local);
    RunFor(run, 10s, false);
    RunFor(run, 10s, true);
    MESSAGE("spill-over ", spill, ": queue length ", QueueLengthQuantile(run, 0.99), " at p99, ",
            QueueLengthQuantile(run, 1), " at most");
    CHECK((QueueLengthQuantile(run, 0.99) <= 20) == spill);
  }
}

// Guards against requests to a leaving server: the list shows it 30 s late, gossip within 3 s.
TEST_CASE("a leaving server gets no requests after 3 s although the list lags 30 s")
{
  for (const bool gossip : { false, true }) {
    fleet run = MakeFleet({ .mInstances = 16, .mServers = 8, .mOptions = {} });
    std::vector<membership::state> members;
    std::vector<membership::listed_instance> list;
    for (std::size_t i = 0; i < 16; ++i) {
      list.push_back({ std::to_string(i),
                       membership::role::Entry,
                       "",
                       std::to_string(i),
                       DataCentreOf(0),
                       false,
                       {} });
    }
    for (std::size_t i = 0; i < 16; ++i) {
      members.push_back(membership::Start({}, instance_id(std::to_string(i)), start_epoch(i + 1),
                                          DataCentreOf(0), run.mNow));
      OnInstanceList(members.back(), list, run.mNow);
    }
    const time_point leavingAt = run.mNow;
    duration lastWork{};
    const auto perform = [&](std::size_t aAt, const membership::actions& aActions) {
      for (const membership::rumour& each : aActions.mNewRumours) {
        OnServerLeaving(run.mInstances[aAt], server_id(each.mKey.mSubject), each.mKey.mEpoch);
      }
      return aActions.mSend;
    };
    // Instance 0 sees the server's own response immediately.
    const auto seen = OnServerReport(members[0], ServerOf(0), start_epoch(1), gossip, run.mNow);
    perform(0, seen);
    while (run.mNow < leavingAt + 35s) {
      run.mNow += 50ms;
      if (run.mNow == leavingAt + 30s) {
        for (state& each : run.mInstances) {
          std::vector<listed_server> servers;
          for (std::size_t i = 0; i < 8; ++i) {
            servers.push_back({ ServerOf(i), DataCentreOf(0), i == 0 });
          }
          OnServerList(each, servers, run.mNow);
        }
      }
      for (std::size_t i = 0; i < 16; ++i) {
        for (const auto& out : perform(i, Tick(members[i], {}, run.mNow, run.mRandom))) {
          const std::size_t to = std::stoul(out.mPeerAddress);
          for (const auto& answer :
               perform(to, OnGossip(members[to], out.mMessage, std::to_string(i), {}, run.mNow))) {
            perform(i, OnGossip(members[i], answer.mMessage, out.mPeerAddress, {}, run.mNow));
          }
        }
        const auto picked =
          Choose(run.mInstances[i], { Version(), {}, {}, false }, run.mNow, run.mRandom);
        REQUIRE(picked);
        if (picked->mServer == ServerOf(0)) {
          lastWork = run.mNow - leavingAt;
        }
      }
    }
    MESSAGE("gossip ", gossip, ": last request ", Seconds(lastWork), " s after leaving");
    CHECK((lastWork <= 3s) == gossip);
    CHECK(lastWork <= 30s);
  }
}
