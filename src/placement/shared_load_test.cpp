#include "placement/choose.h"
#include "placement/load_board.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace tamarackweir;
using namespace tamarackweir::placement;

namespace {

constexpr time_point kStart = time_point(100s);
constexpr std::int64_t kSharedTokens = 6300;
constexpr std::int64_t kOwnTokens = 2890;
constexpr double kTokensPerMs = 32;
constexpr duration kPartLifetime = 9s;

/// Long prompts with shared parts, sent by instances that see a small part of them each.
struct heavy_load
{
  std::size_t mInstances = 40;
  int mServers = 20;
  std::uint64_t mSubjects = 80;
  double mRequestsPerSecond = 110; ///< half of what the engines read with all parts kept
  double mReadWeight = choice_options{}.mReadWeight;
  bool mSharesLoads = true;
};

/// An engine that reads one prompt after the other.
struct engine
{
  time_point mFreeAt = kStart;
  std::map<std::uint64_t, time_point> mKept; ///< shared parts, with their last use
  std::vector<std::pair<time_point, std::pair<std::size_t, double>>> mReading;
};

struct outcome
{
  double mLate = 0; ///< share of the requests whose first event comes after the aim
  double mReadAgain =
    0; ///< share of the requests whose shared part was read though some engine kept it
};

outcome Play(const heavy_load& aLoad, std::uint64_t aSeed)
{
  constexpr duration kAim = 2s;
  constexpr duration kLength = 40s;
  constexpr duration kTellPause = 200ms;
  std::mt19937_64 random(aSeed);
  choice_options options;
  options.mReadWeight = aLoad.mReadWeight;
  std::vector<backends::fleet> fleets(aLoad.mInstances);
  std::vector<prompt_memory> memories(aLoad.mInstances);
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
  time_point told = kStart;
  int late = 0;
  int again = 0;
  int total = 0;
  std::exponential_distribution<double> gap(aLoad.mRequestsPerSecond);
  for (time_point now = kStart; now < kStart + kLength;
       now += std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(random)))) {
    for (auto& [id, engine] : engines) {
      std::erase_if(engine.mReading, [&, &server = id](const auto& aRead) {
        if (aRead.first > now) {
          return false;
        }
        auto& seen = *fleets[aRead.second.first].mServers.at(server);
        seen.mUnreadTokens -= aRead.second.second;
        --seen.mInFlight;
        return true;
      });
    }
    if (aLoad.mSharesLoads && now - told >= kTellPause) {
      told = now;
      for (std::size_t i = 0; i < fleets.size(); ++i) {
        TakeReport(board, std::to_string(i), OwnLoads(fleets[i]), now);
      }
      for (std::size_t i = 0; i < fleets.size(); ++i) {
        ApplyTotals(fleets[i], Totals(board, std::to_string(i), now), now);
      }
    }
    const std::size_t instance = random() % fleets.size();
    const std::uint64_t subject = 1 + random() % aLoad.mSubjects;
    demand demand;
    demand.mService = service_id("llm");
    demand.mDataCentre = data_centre_id("a");
    demand.mIsAllowed = [](const auto&) { return true; };
    demand.mTakeColdPlace = [](auto&) { return true; };
    demand.mParts = { { .mId = subject, .mTokens = kSharedTokens },
                      { .mId = random(), .mTokens = kOwnTokens } };
    const choice choice =
      Choose(fleets[instance], demand, memories[instance], options, random, now);
    REQUIRE(choice.mServer != nullptr);
    RecordRead(memories[instance], choice.mServer->mAnnounced.mId, demand, options, now);

    engine& engine = engines[choice.mServer->mAnnounced.mId];
    const auto isKept = [now, subject](const struct engine& aEngine) {
      const auto kept = aEngine.mKept.find(subject);
      return kept != aEngine.mKept.end() && now - kept->second < kPartLifetime;
    };
    const double tokens =
      static_cast<double>(kOwnTokens) + (isKept(engine) ? 0.0 : static_cast<double>(kSharedTokens));
    again += !isKept(engine) &&
                 std::any_of(engines.begin(), engines.end(),
                             [&isKept](const auto& aEntry) { return isKept(aEntry.second); })
               ? 1
               : 0;
    engine.mKept[subject] = now;
    engine.mFreeAt = std::max(engine.mFreeAt, now) +
                     std::chrono::duration_cast<duration>(
                       std::chrono::duration<double, std::milli>(tokens / kTokensPerMs));
    const auto unread = static_cast<double>(choice.mUnreadTokens);
    choice.mServer->mUnreadTokens += unread;
    ++choice.mServer->mInFlight;
    engine.mReading.push_back({ engine.mFreeAt, { instance, unread } });
    ++total;
    late += engine.mFreeAt - now > kAim ? 1 : 0;
  }
  return { .mLate = static_cast<double>(late) / total,
           .mReadAgain = static_cast<double>(again) / total };
}

outcome Mean(const heavy_load& aLoad)
{
  constexpr std::uint64_t kSeeds = 5;
  outcome mean;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const outcome one = Play(aLoad, seed);
    mean.mLate += one.mLate / kSeeds;
    mean.mReadAgain += one.mReadAgain / kSeeds;
  }
  return mean;
}

} // namespace

// The heaviest hours of the grown deployments: each instance sees a fortieth of an engine's work.
TEST_CASE("instances that know each other's work answer more requests in time")
{
  const outcome shared = Mean({});
  const outcome blind = Mean({ .mReadWeight = 1, .mSharesLoads = false });
  MESSAGE("late: shared " << shared.mLate << ", blind " << blind.mLate << "; read again: shared "
                          << shared.mReadAgain << ", blind " << blind.mReadAgain);
  CHECK(shared.mLate < blind.mLate);
}

TEST_CASE("requests stay with the engine that keeps their part until its queue is far longer")
{
  const outcome loyal = Mean({});
  const outcome restless = Mean({ .mReadWeight = 1 });
  MESSAGE("late: weighted " << loyal.mLate << ", plain " << restless.mLate
                            << "; read again: weighted " << loyal.mReadAgain << ", plain "
                            << restless.mReadAgain);
  CHECK(loyal.mReadAgain < restless.mReadAgain);
  CHECK(loyal.mLate <= restless.mLate);
}
