#include "gateway/admission.h"

#include <algorithm>
#include <array>
#include <deque>
#include <doctest/doctest.h>
#include <random>

using namespace tamarackweir;
using namespace tamarackweir::gateway;

namespace {

constexpr time_point kStart = time_point(100s);
constexpr duration kWindow = 10s;
constexpr double kRatio = 0.9;
constexpr double kSlack = 58;
const service_id kService("llm");

/// What servers see of all instances, judged without knowledge of the budget.
struct arrivals
{
  std::vector<time_point> mRequests;
  std::vector<time_point> mRepeats;

  static double CountIn(const std::vector<time_point>& aTimes, time_point aFrom, time_point aTo)
  {
    return static_cast<double>(std::count_if(
      aTimes.begin(), aTimes.end(), [=](time_point aAt) { return aAt > aFrom && aAt <= aTo; }));
  }

  /// By how much the repeats of the worst window exceed what its requests allow.
  double WorstExcess()
  {
    double worst = -kSlack;
    std::sort(mRepeats.begin(), mRepeats.end());
    for (const time_point to : mRepeats) {
      double requests = 0;
      for (const duration back : { duration(0s), kWindow / 2, kWindow }) {
        requests = std::max(requests, CountIn(mRequests, to - back - kWindow, to - back));
      }
      worst = std::max(worst, CountIn(mRepeats, to - kWindow, to) - kRatio * requests - kSlack);
    }
    return worst;
  }
};

struct simulation
{
  std::mt19937_64 mRandom;
  std::vector<std::unique_ptr<gateway_state>> mInstances;
  /// Retries under way, with their instance and when they arrive.
  std::deque<std::pair<time_point, gateway_state*>> mUnderWay;
  arrivals mSeen;

  std::unique_ptr<gateway_state> Instance(time_point aStarted)
  {
    auto added = std::make_unique<gateway_state>();
    added->mOptions.mBounds.mRetryRatio = kRatio;
    added->mOptions.mBounds.mRetrySlack = kSlack;
    added->mOptions.mBounds.mRetryWindow = kWindow;
    added->mStartedAt = aStarted;
    return added;
  }

  void ListInstances(time_point aNow)
  {
    for (const auto& one : mInstances) {
      SetInstances(*one, std::vector<std::string>(mInstances.size(), "instance"), aNow);
    }
  }

  void Request(gateway_state& aState, time_point aNow)
  {
    overload::OnRequest(*BudgetOf(aState, kService, aNow), aNow);
    mSeen.mRequests.push_back(aNow);
  }

  void Retry(gateway_state& aState, time_point aNow)
  {
    const attempt_history history{
      .mIsIdempotent = true, .mRuns = 1, .mMaxRuns = 3, .mDeadline = aNow + 20s
    };
    const auto budget = BudgetOf(aState, kService, aNow);
    if (MayRetry(attempt_result::Broken, history, *budget, aNow)) {
      mUnderWay.emplace_back(aNow + duration(mRandom() % 3'000'000), &aState);
    }
  }

  void Arrive(time_point aNow)
  {
    std::erase_if(mUnderWay, [&](const auto& aRetry) {
      if (aRetry.first > aNow) {
        return false;
      }
      overload::SettleRetry(*BudgetOf(*aRetry.second, kService, aNow), aNow);
      mSeen.mRepeats.push_back(aNow);
      return true;
    });
  }

  /// The process ends, and with it its connections.
  void End(std::size_t aIndex)
  {
    std::erase_if(mUnderWay,
                  [&](const auto& aRetry) { return aRetry.second == mInstances[aIndex].get(); });
  }
};

} // namespace

// Guards against repeats that pile up while servers break off and instances come and go.
TEST_CASE("all instances together stay within the retry budget in each window")
{
  for (const std::size_t instances : { 4U, 12U, 74U }) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      CAPTURE(instances);
      CAPTURE(seed);
      simulation world{ .mRandom = std::mt19937_64(seed) };
      for (std::size_t i = 0; i < instances; ++i) {
        world.mInstances.push_back(world.Instance(kStart - kWindow));
      }
      world.ListInstances(kStart);
      bool isBreaking = false;
      for (time_point now = kStart; now < kStart + 40s; now += 50ms) {
        isBreaking = world.mRandom() % 20 == 0 ? !isBreaking : isBreaking;
        if (world.mRandom() % 40 == 0) {
          const std::size_t restarted = world.mRandom() % world.mInstances.size();
          world.End(restarted);
          world.mInstances[restarted] = world.Instance(now);
          world.ListInstances(now);
        }
        if (world.mRandom() % 60 == 0 && world.mInstances.size() > instances / 2) {
          world.End(world.mInstances.size() - 1);
          world.mInstances.pop_back();
          world.ListInstances(now);
        }
        world.Arrive(now);
        for (const auto& one : world.mInstances) {
          if (world.mRandom() % instances == 0) {
            world.Request(*one, now);
          }
          for (int i = 0; isBreaking && i < 3; ++i) {
            world.Retry(*one, now);
          }
        }
      }
      CHECK(world.mSeen.mRepeats.size() > 100);
      CHECK(world.mSeen.WorstExcess() <= 0);
    }
  }
}

// Guards against an instance that divides the fixed part by a list that is no longer, or not yet,
// the one by which the others spend theirs.
TEST_CASE("the fixed part follows the list of instances, also where no request asks for it")
{
  simulation world;
  SUBCASE("that have left since the last request")
  {
    const auto one = world.Instance(kStart - 2 * kWindow);
    SetInstances(*one, std::vector<std::string>(12, "instance"), kStart - 2 * kWindow);
    SetInstances(*one, std::vector<std::string>(4, "instance"), kStart);
    CHECK(BudgetOf(*one, kService, kStart + 1s)->mFixedAllowance < kSlack / 12);
    CHECK(BudgetOf(*one, kService, kStart + kWindow)->mFixedAllowance > kSlack / 6);
  }
}
