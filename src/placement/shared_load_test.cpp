#include "placement/choose.h"
#include "placement/load_board.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace tamarackweir;
using namespace tamarackweir::placement;

namespace {

constexpr time_point kStart = time_point(100s);
constexpr std::int64_t kPrefixTokens = 6300;
constexpr std::int64_t kOwnTokens = 2890;
constexpr double kTokensPerMs = 32;
constexpr duration kPartLifetime = 9s;

/// Long prompts with shared parts, sent by instances that each see only a small share of them.
struct simulated_load
{
  std::size_t mInstances = 40;
  int mServers = 20;
  std::uint64_t mSubjects = 80;
  double mRequestsPerSecond = 110; ///< half of the engines' capacity with all parts cached
  double mPrefillWeight = choice_options{}.mPrefillWeight;
  bool mExchangesLoads = true;
  double mHotShare = 0; ///< share of the requests that use one subject
  duration mReportInterval = 200ms;
  bool mSpreadsLoad = true;
  std::size_t mMaxHolders = choice_options{}.mMaxHolders;
};

/// An engine that processes one prompt after the other.
struct engine
{
  double mWorkMs = 0;
  time_point mFreeAt = kStart;
  std::map<std::uint64_t, time_point> mCached; ///< last use of each shared part
  std::vector<std::pair<time_point, std::pair<std::size_t, double>>> mPrefilling;
};

struct outcome
{
  double mLate = 0;       ///< share of requests whose first event misses the target latency
  double mUnevenness = 0; ///< engine time of the busiest engine against the mean
  double mRepeatedPrefills =
    0; ///< share of requests whose part was prefilled though another engine cached it
};

outcome Simulate(const simulated_load& aLoad, std::uint64_t aSeed)
{
  constexpr duration kTargetLatency = 2s;
  constexpr duration kDuration = 40s;
  std::mt19937_64 random(aSeed);
  choice_options options;
  options.mPrefillWeight = aLoad.mPrefillWeight;
  options.mMaxHolders = aLoad.mMaxHolders;
  options.mSpreadsLoad = aLoad.mSpreadsLoad;
  std::vector<backends::fleet> fleets(aLoad.mInstances);
  std::vector<prefix_caches> caches(aLoad.mInstances);
  for (auto& fleet : fleets) {
    for (int i = 0; i < aLoad.mServers; ++i) {
      backends::Announce(fleet,
                         { .mId = server_id("s-" + std::to_string(i)),
                           .mService = service_id("llm"),
                           .mDataCentre = data_centre_id("a"),
                           .mVersion = version_id("v1") },
                         kStart);
    }
  }
  std::map<server_id, engine> engines;
  load_board board;
  time_point lastReport = kStart;
  int late = 0;
  int repeated = 0;
  int total = 0;
  std::exponential_distribution<double> gap(aLoad.mRequestsPerSecond);
  for (time_point now = kStart; now < kStart + kDuration;
       now += std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(random)))) {
    for (auto& [id, engine] : engines) {
      std::erase_if(engine.mPrefilling, [&, &server = id](const auto& aRead) {
        if (aRead.first > now) {
          return false;
        }
        auto& seen = *fleets[aRead.second.first].mServers.at(server);
        seen.mPrefillMs -= aRead.second.second;
        --seen.mInFlight;
        return true;
      });
    }
    if (aLoad.mExchangesLoads && now - lastReport >= aLoad.mReportInterval) {
      lastReport = now;
      for (std::size_t i = 0; i < fleets.size(); ++i) {
        RecordReport(board, { .mInstance = std::to_string(i), .mLoads = OwnLoads(fleets[i]) }, now);
      }
      for (std::size_t i = 0; i < fleets.size(); ++i) {
        ApplyTotals(fleets[i], Totals(board, std::to_string(i), now), now);
      }
    }
    const std::size_t instance = random() % fleets.size();
    const bool isHot = aLoad.mHotShare > 0 && std::bernoulli_distribution(aLoad.mHotShare)(random);
    const std::uint64_t subject = isHot ? 1 : 1 + random() % aLoad.mSubjects;
    demand demand;
    demand.mService = service_id("llm");
    demand.mDataCentre = data_centre_id("a");
    demand.mIsAllowed = [](const auto&) { return true; };
    demand.mAcquireColdSlot = [](auto&) { return true; };
    demand.mPrefill = { .mBaseMs = 0, .mMsPerToken = 1 / kTokensPerMs };
    demand.mParts = { { .mId = subject, .mTokens = kPrefixTokens },
                      { .mId = random(), .mTokens = kOwnTokens } };
    const choice choice = Choose(fleets[instance], demand, caches[instance], options, random, now);
    REQUIRE(choice.mServer != nullptr);
    RecordPrefill(caches[instance], choice.mServer->mAnnounced.mId, demand, now);

    engine& engine = engines[choice.mServer->mAnnounced.mId];
    const auto isCached = [now, subject](const struct engine& aEngine) {
      const auto cached = aEngine.mCached.find(subject);
      return cached != aEngine.mCached.end() && now - cached->second < kPartLifetime;
    };
    const double tokens = static_cast<double>(kOwnTokens) +
                          (isCached(engine) ? 0.0 : static_cast<double>(kPrefixTokens));
    repeated += !isCached(engine) &&
                    std::any_of(engines.begin(), engines.end(),
                                [&isCached](const auto& aEntry) { return isCached(aEntry.second); })
                  ? 1
                  : 0;
    engine.mCached[subject] = now;
    engine.mWorkMs += tokens / kTokensPerMs;
    engine.mFreeAt = std::max(engine.mFreeAt, now) +
                     std::chrono::duration_cast<duration>(
                       std::chrono::duration<double, std::milli>(tokens / kTokensPerMs));
    choice.mServer->mPrefillMs += choice.mPrefillMs;
    ++choice.mServer->mInFlight;
    engine.mPrefilling.push_back({ engine.mFreeAt, { instance, choice.mPrefillMs } });
    ++total;
    late += engine.mFreeAt - now > kTargetLatency ? 1 : 0;
  }
  double sum = 0;
  double most = 0;
  for (const auto& [id, engine] : engines) {
    sum += engine.mWorkMs;
    most = std::max(most, engine.mWorkMs);
  }
  return { .mLate = static_cast<double>(late) / total,
           .mUnevenness = most * aLoad.mServers / sum,
           .mRepeatedPrefills = static_cast<double>(repeated) / total };
}

outcome Mean(const simulated_load& aLoad)
{
  constexpr std::uint64_t kSeeds = 5;
  outcome mean;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const outcome one = Simulate(aLoad, seed);
    mean.mLate += one.mLate / kSeeds;
    mean.mUnevenness += one.mUnevenness / kSeeds;
    mean.mRepeatedPrefills += one.mRepeatedPrefills / kSeeds;
  }
  return mean;
}

} // namespace

// Models the peak hours of large deployments: each instance sees a fortieth of an engine's load.
TEST_CASE("fewer requests are late if instances exchange their loads")
{
  const outcome shared = Mean({});
  const outcome unshared = Mean({ .mPrefillWeight = 1, .mExchangesLoads = false });
  MESSAGE("late: shared " << shared.mLate << ", unshared " << unshared.mLate
                          << "; repeated prefills: shared " << shared.mRepeatedPrefills
                          << ", unshared " << unshared.mRepeatedPrefills);
  CHECK(shared.mLate < unshared.mLate);
}

TEST_CASE("requests stay with the engine that caches their part until its queue is far longer")
{
  const outcome weighted = Mean({});
  const outcome unweighted = Mean({ .mPrefillWeight = 1 });
  MESSAGE("late: weighted " << weighted.mLate << ", unweighted " << unweighted.mLate
                            << "; repeated prefills: weighted " << weighted.mRepeatedPrefills
                            << ", unweighted " << unweighted.mRepeatedPrefills);
  CHECK(weighted.mRepeatedPrefills < unweighted.mRepeatedPrefills);
  CHECK(weighted.mLate <= unweighted.mLate);
}

// Guards against a part in high demand whose few holders are overloaded while other engines idle.
TEST_CASE("a hot part gets as many servers as its load needs, from reports up to 0.4 s old")
{
  struct load_case
  {
    double mRequestsPerSecond;
    double mMaxLate;
  };
  for (const load_case& one : { load_case{ 110, 0.01 }, load_case{ 160, 0.1 } }) {
    simulated_load load{ .mRequestsPerSecond = one.mRequestsPerSecond,
                         .mHotShare = 0.25,
                         .mReportInterval = 400ms };
    const outcome many = Mean(load);
    load.mPrefillWeight = 40;
    load.mSpreadsLoad = false;
    load.mMaxHolders = 3;
    const outcome few = Mean(load);
    MESSAGE("late: " << many.mLate << ", three holders " << few.mLate << "; busiest to mean "
                     << many.mUnevenness << ", " << few.mUnevenness << "; repeated prefills "
                     << many.mRepeatedPrefills << ", " << few.mRepeatedPrefills);
    CHECK(many.mLate < one.mMaxLate);
    CHECK(many.mLate < few.mLate);
    CHECK(many.mUnevenness < few.mUnevenness);
  }
}

// Guards against spreading requests in calm, which would prefill shared parts again.
TEST_CASE("in calm no more shared parts are prefilled again than by the least loaded server")
{
  simulated_load load{ .mReportInterval = 400ms };
  const outcome spread = Mean(load);
  load.mPrefillWeight = 40;
  load.mSpreadsLoad = false;
  load.mMaxHolders = 3;
  const outcome least = Mean(load);
  MESSAGE("repeated prefills: " << spread.mRepeatedPrefills << ", " << least.mRepeatedPrefills);
  CHECK(spread.mRepeatedPrefills <= least.mRepeatedPrefills);
  CHECK(spread.mLate <= least.mLate);
}
