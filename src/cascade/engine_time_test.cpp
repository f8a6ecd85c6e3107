#include "cascade/engine_time.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

using namespace tamarackweir;
using namespace tamarackweir::cascade;

namespace {

constexpr time_point kStart = time_point(100s);
constexpr time_point kBurst = kStart + 10s;
constexpr time_point kSettled = kBurst + 3s;
constexpr time_point kBurstEnd = kBurst + 10s;
constexpr time_point kEnd = kBurstEnd + 10s;
constexpr double kLargeFactor = 10; ///< engine time of the largest model, smallest = 1

struct request_kind
{
  double mShare;
  double mSmallMs;  ///< engine time on the smallest model
  duration mWanted; ///< latency that callers ask for; no decision reads it
  duration mTime;   ///< that callers have
};
constexpr std::array<request_kind, 3> kKinds{
  { { 0.3, 30, 4s, 8s }, { 0.62, 8, 1500ms, 5s }, { 0.08, 12, 1s, 25s } }
};

double ToMs(duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

duration FromMs(double aMs)
{
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(aMs));
}

struct instance_state
{
  going_rate mRate;
  std::array<escalation_record, kKinds.size()> mRecords;
  double mLargeMs = 0;    ///< smoothed time to the first event of a run on the largest model
  double mLowestHeld = 1; ///< least share held back since the burst has settled
};

struct request
{
  std::size_t mKind = 0;
  std::size_t mInstance = 0;
  time_point mArrived{};
  int mConfidence = 0;
  bool mIsWeak = false;
};

/// Escalates below a confidence; by the going rate, or if the usual time of the larger model fits
/// into the caller's time.
struct policy
{
  int mThreshold = 50;
  std::optional<engine_time_options> mByRate;
};

bool Escalates(const policy& aPolicy, instance_state& aState, const request& aRequest,
               const escalation& aRun, time_point aNow)
{
  if (aRequest.mConfidence >= aPolicy.mThreshold) {
    return false;
  }
  return aPolicy.mByRate ? Judge(aState.mRate, aState.mRecords.at(aRequest.mKind), aRun,
                                 *aPolicy.mByRate, aNow) == escalation_verdict::Granted
                         : aState.mLargeMs < ToMs(aRun.mTimeLeft);
}

struct outcome
{
  double mGood = 0; ///< share of requests answered well and within the wanted latency
  double mLate = 0; ///< after the callers' time
  std::array<int, kKinds.size()> mGranted{}; ///< escalations once the burst has settled
  double mSwing = 0; ///< largest rise of an instance's share held back, once the burst has settled
};

/// Engines that serve one run after the other, and instances that know the queues.
class simulation
{
public:
  simulation(policy aPolicy, double aBurstLoad, std::uint64_t aSeed)
    : mPolicy(aPolicy)
    , mBurstLoad(aBurstLoad)
    , mRandom(aSeed)
  {
  }

  outcome Run()
  {
    for (time_point now = kStart; now < kEnd; now += NextGap(now)) {
      mEvents.emplace(now, [this, now] { Arrive(now); });
      while (mEvents.begin()->first < now) {
        Step();
      }
    }
    while (!mEvents.empty()) {
      Step();
    }
    mOutcome.mGood /= mTotal;
    mOutcome.mLate /= mTotal;
    return mOutcome;
  }

private:
  static constexpr std::size_t kEngines = 30;
  static constexpr std::size_t kInstances = 20;

  double Draw() { return std::uniform_real_distribution<double>()(mRandom); }

  void Step()
  {
    const auto action = std::move(mEvents.begin()->second);
    mEvents.erase(mEvents.begin());
    action();
  }

  /// At a load of 1, engines can just run each doubted answer again.
  duration NextGap(time_point aNow)
  {
    double smallMs = 0;
    for (const request_kind& kind : kKinds) {
      smallMs += kind.mShare * kind.mSmallMs;
    }
    constexpr double kDoubted = 0.23 + 0.62 / 2;
    const double load = aNow >= kBurst && aNow < kBurstEnd ? mBurstLoad : 0.7;
    const double gapMs = smallMs * (1 + kDoubted * kLargeFactor) / kEngines / load;
    return FromMs(std::exponential_distribution<double>(1 / gapMs)(mRandom));
  }

  /// As on a played day 23% of the confidences are 0 to 9, 15% 90 to 100, and 44% are weak.
  void Arrive(time_point aNow)
  {
    const double kind = Draw();
    const double level = Draw();
    const int confidence = static_cast<int>(level < 0.23   ? level / 0.23 * 10
                                            : level < 0.85 ? 10 + (level - 0.23) / 0.62 * 80
                                                           : 90 + (level - 0.85) / 0.15 * 11);
    const request one{ .mKind = kind < 0.3    ? 0U
                                : kind < 0.92 ? 1U
                                              : 2U,
                       .mInstance = mRandom() % kInstances,
                       .mArrived = aNow,
                       .mConfidence = confidence,
                       .mIsWeak = Draw() < 0.82 * (1 - confidence / 100.0) };
    ++mTotal;
    const time_point first = Dispatch(one, 1, aNow);
    mEvents.emplace(first, [this, one, first, aNow] { FirstEvent(one, first - aNow, first); });
  }

  time_point& ShorterOfTwo()
  {
    time_point& one = mFreeAt.at(mRandom() % kEngines);
    time_point& other = mFreeAt.at(mRandom() % kEngines);
    return one < other ? one : other;
  }

  time_point Dispatch(const request& aRequest, double aFactor, time_point aNow)
  {
    time_point& freeAt = ShorterOfTwo();
    freeAt = std::max(freeAt, aNow) + FromMs(kKinds.at(aRequest.mKind).mSmallMs * aFactor);
    ++mRunning;
    mEvents.emplace(freeAt, [this] { --mRunning; });
    return freeAt;
  }

  void FirstEvent(const request& aRequest, duration aWait, time_point aNow)
  {
    constexpr int kRuns = 2;
    const request_kind& kind = kKinds.at(aRequest.mKind);
    instance_state& state = mInstances.at(aRequest.mInstance);
    const double ahead = mRunning / static_cast<double>(kEngines);
    RecordWait(state.mRate, kRuns * ToMs(aWait) / ToMs(kind.mTime), ahead, aNow);
    const escalation run{ .mGain = 1 - aRequest.mConfidence / 100.0,
                          .mEngineMs = kind.mSmallMs * kLargeFactor,
                          .mBeginsIn = FromMs(state.mLargeMs * QueueGrowth(state.mRate, ahead)),
                          .mTimeLeft = aRequest.mArrived + kind.mTime - aNow,
                          .mPressure = PressureOf(state.mRate, ahead, {}, aNow),
                          .mTieBreaker = Draw() };
    const bool isGranted = Escalates(mPolicy, state, aRequest, run, aNow);
    if (aNow >= kSettled && aNow < kBurstEnd) {
      const double held = state.mRate.mHeldBack;
      state.mLowestHeld = std::min(held, state.mLowestHeld);
      mOutcome.mSwing = std::max(mOutcome.mSwing, held - state.mLowestHeld);
      mOutcome.mGranted.at(aRequest.mKind) += isGranted ? 1 : 0;
    }
    if (!isGranted) {
      Finish(aRequest, aRequest.mIsWeak, aNow);
      return;
    }
    const time_point first = Dispatch(aRequest, kLargeFactor, aNow);
    mEvents.emplace(first, [this, &state, aRequest, first, aNow] {
      state.mLargeMs += 0.1 * (ToMs(first - aNow) - state.mLargeMs);
      Finish(aRequest, false, first);
    });
  }

  void Finish(const request& aRequest, bool aIsWeak, time_point aNow)
  {
    const duration time = aNow - aRequest.mArrived;
    mOutcome.mLate += time > kKinds.at(aRequest.mKind).mTime ? 1 : 0;
    mOutcome.mGood += time <= kKinds.at(aRequest.mKind).mWanted && !aIsWeak ? 1 : 0;
  }

  policy mPolicy;
  double mBurstLoad;
  std::mt19937_64 mRandom;
  std::multimap<time_point, std::function<void()>> mEvents;
  std::array<time_point, kEngines> mFreeAt{};
  std::array<instance_state, kInstances> mInstances;
  outcome mOutcome;
  int mRunning = 0;
  int mTotal = 0;
};

outcome Mean(const std::string& aName, const policy& aPolicy, double aBurstLoad)
{
  constexpr std::uint64_t kSeeds = 5;
  outcome mean;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const outcome one = simulation(aPolicy, aBurstLoad, seed).Run();
    mean.mGood += one.mGood / kSeeds;
    mean.mLate += one.mLate / kSeeds;
    mean.mSwing = std::max(mean.mSwing, one.mSwing);
    std::transform(one.mGranted.begin(), one.mGranted.end(), mean.mGranted.begin(),
                   mean.mGranted.begin(), std::plus<>());
  }
  MESSAGE(aName << " at " << aBurstLoad << ": good " << mean.mGood << ", late " << mean.mLate
                << ", swing " << mean.mSwing << ", granted " << mean.mGranted[0] << " "
                << mean.mGranted[1] << " " << mean.mGranted[2]);
  return mean;
}

const policy kByRate{ .mByRate = engine_time_options{} };

} // namespace

// Guards against fixed thresholds, which trade late answers for weak ones whatever their value.
TEST_CASE("more callers get a good answer in time than with any fixed threshold")
{
  for (const double load : { 1.5, 2.5, 4.0 }) {
    const outcome byRate = Mean("going rate", kByRate, load);
    CHECK(byRate.mLate < 0.01);
    for (const int threshold : { 0, 30, 50 }) {
      CHECK(byRate.mGood > Mean("threshold", { .mThreshold = threshold }, load).mGood);
    }
  }
}

// Guards against instances that all hold back and let go in turns.
TEST_CASE("the share of escalations held back does not swing while the load stays the same")
{
  const policy onOff{ .mByRate = engine_time_options{ .mHoldAllAt = 0.11, .mReleaseTime = 1ms } };
  CHECK(Mean("going rate", kByRate, 1.5).mSwing < 0.5);
  CHECK(Mean("on or off", onOff, 1.5).mSwing > 0.9);
}

// Guards against long prompts whose doubted answers are all delivered while others escalate.
TEST_CASE("no kind of request is left without escalations in a burst")
{
  const policy noTurns{ .mByRate = engine_time_options{ .mMaxHeldInRow = 1'000'000 } };
  CHECK(Mean("going rate", kByRate, 4).mGranted[0] > 100);
  CHECK(Mean("no turns", noTurns, 4).mGranted[0] < 10);
}

TEST_CASE("without pressure every escalation is granted that can begin in time")
{
  going_rate rate;
  escalation_record record;
  const escalation run{ .mGain = 0.01, .mEngineMs = 5000, .mBeginsIn = 1s, .mTimeLeft = 2s };
  for (int i = 0; i < 100; ++i) {
    CHECK(Judge(rate, record, run, {}, kStart) == escalation_verdict::Granted);
  }
  escalation late = run;
  late.mTimeLeft = 1s;
  CHECK(Judge(rate, record, late, {}, kStart) == escalation_verdict::TooLate);
}

// Guards against a larger model that is asked although its answers are no better.
TEST_CASE("the expected gain follows what larger models say of the same requests")
{
  gain_table table;
  CHECK(ExpectedGain(table, 20) == doctest::Approx(0.8));
  for (int i = 0; i < 200; ++i) {
    RecordGain(table, 20, 30);
  }
  CHECK(ExpectedGain(table, 20) == doctest::Approx(0.1).epsilon(0.2));
  CHECK(ExpectedGain(table, 40) == doctest::Approx(0.6));
}

// Guards against engines that always take long and are therefore taken for busy ones.
TEST_CASE("a wait is the time beyond the least one")
{
  least_time least;
  CHECK(WaitOf(least, 200) == 0);
  CHECK(WaitOf(least, 200) == 0);
  CHECK(WaitOf(least, 900) == doctest::Approx(700));
}
