#include "cascade/engine_time.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <random>
#include <string>

using namespace tamarackweir;
using namespace tamarackweir::cascade;

namespace {

constexpr time_point kStart = time_point(100s);
constexpr time_point kBurst = kStart + 10s;
constexpr time_point kSettled = kBurst + 3s;
constexpr double kLargeFactor = 10; ///< engine time of the largest model, smallest = 1

struct request_kind
{
  double mSmallMs;  ///< engine time on the smallest model
  duration mWanted; ///< latency that callers ask for; no decision reads it
  duration mTime;   ///< that callers have
};
constexpr std::array<request_kind, 3> kKinds{
  { { 30, 4s, 8s }, { 8, 1500ms, 5s }, { 12, 1s, 25s } }
};
constexpr std::array<double, 3> kShares{ 0.3, 0.62, 0.08 };
constexpr double kMeanSmallMs = 0.3 * 30 + 0.62 * 8 + 0.08 * 12;

double ToMs(duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

duration FromMs(double aMs)
{
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(aMs));
}

/// Escalates below a confidence; by the going rate, or if the usual time of the larger model fits
/// into the caller's time.
struct policy
{
  int mThreshold = 50;
  std::optional<engine_time_options> mByRate;
};

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
  time_point mArrived{};
  int mConfidence = 0;
};

struct outcome
{
  double mGood = 0; ///< share of requests answered well and within the wanted latency
  double mLate = 0; ///< after the callers' time
  std::array<int, kKinds.size()> mGranted{}; ///< escalations once the burst has settled
  double mSwing = 0; ///< largest rise of an instance's share held back, once the burst has settled
};

/// Engines that serve one run after the other, and instances that know the queues. At a load of 1,
/// the engines can just run each doubted answer again.
struct simulation
{
  static constexpr std::size_t kEngines = 30;
  static constexpr std::size_t kInstances = 20;

  policy mPolicy;
  double mLoad; ///< in the burst
  time_point mBurstEnd;
  std::mt19937_64 mRandom;
  std::multimap<time_point, std::function<void()>> mEvents{};
  std::array<time_point, kEngines> mFreeAt{};
  std::array<instance_state, kInstances> mInstances{};
  outcome mOutcome{};
  int mRunning = 0;
  int mTotal = 0;

  double Draw() { return std::uniform_real_distribution<double>()(mRandom); }

  outcome Run()
  {
    mEvents.emplace(kStart, [this] { Arrive(kStart); });
    while (!mEvents.empty()) {
      const auto action = mEvents.extract(mEvents.begin());
      action.mapped()();
    }
    mOutcome.mGood /= mTotal;
    mOutcome.mLate /= mTotal;
    return mOutcome;
  }

  /// As on a played day 23% of the confidences are 0 to 9, 15% 90 to 100, the rest spread evenly.
  void Arrive(time_point aNow)
  {
    constexpr double kDoubted = 0.23 + 0.62 / 2;
    const double load = aNow >= kBurst && aNow < mBurstEnd ? mLoad : 0.7;
    const double gapMs = kMeanSmallMs * (1 + kDoubted * kLargeFactor) / kEngines / load;
    const time_point next =
      aNow + FromMs(std::exponential_distribution<double>(1 / gapMs)(mRandom));
    if (next < mBurstEnd + 10s) {
      mEvents.emplace(next, [this, next] { Arrive(next); });
    }
    const double level = Draw();
    const double confidence = level < 0.23   ? level / 0.23 * 10
                              : level < 0.85 ? 10 + (level - 0.23) / 0.62 * 80
                                             : 90 + (level - 0.85) / 0.15 * 10;
    std::discrete_distribution<std::size_t> kinds(kShares.begin(), kShares.end());
    const request one{ kinds(mRandom), aNow, static_cast<int>(confidence) };
    ++mTotal;
    const time_point first = Dispatch(one, 1, aNow);
    mEvents.emplace(first, [this, one, first] { FirstEvent(one, first); });
  }

  time_point Dispatch(const request& aRequest, double aFactor, time_point aNow)
  {
    time_point& one = mFreeAt.at(mRandom() % kEngines);
    time_point& other = mFreeAt.at(mRandom() % kEngines);
    time_point& freeAt = one < other ? one : other;
    freeAt = std::max(freeAt, aNow) + FromMs(kKinds.at(aRequest.mKind).mSmallMs * aFactor);
    ++mRunning;
    mEvents.emplace(freeAt, [this] { --mRunning; });
    return freeAt;
  }

  bool Escalates(instance_state& aState, const request& aRequest, time_point aNow)
  {
    constexpr int kRuns = 2;
    const request_kind& kind = kKinds.at(aRequest.mKind);
    escalation_record& record = aState.mRecords.at(aRequest.mKind);
    const double ahead = mRunning / static_cast<double>(kEngines);
    const double waitMs = WaitOf(record.mLeast, ToMs(aNow - aRequest.mArrived), aNow);
    RecordWait(aState.mRate, kRuns * waitMs / ToMs(kind.mTime), ahead, aNow);
    const duration left = aRequest.mArrived + kind.mTime - aNow;
    if (!mPolicy.mByRate || aRequest.mConfidence >= mPolicy.mThreshold) {
      return aRequest.mConfidence < mPolicy.mThreshold && aState.mLargeMs < ToMs(left);
    }
    const escalation run{ .mGain = 1 - aRequest.mConfidence / 100.0,
                          .mEngineMs = kind.mSmallMs * kLargeFactor,
                          .mBeginsIn = FromMs(aState.mLargeMs * QueueGrowth(aState.mRate, ahead)),
                          .mTimeLeft = left,
                          .mPressure = PressureOf(aState.mRate, ahead, {}, aNow),
                          .mTieBreaker = Draw() };
    return Judge(aState.mRate, record, run, *mPolicy.mByRate, aNow) == escalation_verdict::Granted;
  }

  void FirstEvent(const request& aRequest, time_point aNow)
  {
    instance_state& state = mInstances.at(mRandom() % kInstances);
    const bool isGranted = Escalates(state, aRequest, aNow);
    if (aNow >= kSettled && aNow < mBurstEnd) {
      state.mLowestHeld = std::min(state.mLowestHeld, state.mRate.mHeldBack);
      mOutcome.mSwing = std::max(mOutcome.mSwing, state.mRate.mHeldBack - state.mLowestHeld);
      mOutcome.mGranted.at(aRequest.mKind) += isGranted ? 1 : 0;
    }
    if (!isGranted) {
      // 44 in 100 answers of the smallest model are weak.
      Finish(aRequest, Draw() < 0.82 * (1 - aRequest.mConfidence / 100.0), aNow);
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
};

outcome Mean(const std::string& aName, const policy& aPolicy, double aLoad, duration aTime = 10s)
{
  constexpr std::uint64_t kSeeds = 5;
  outcome mean;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const outcome one = simulation{ aPolicy, aLoad, kBurst + aTime, std::mt19937_64(seed) }.Run();
    mean.mGood += one.mGood / kSeeds;
    mean.mLate += one.mLate / kSeeds;
    mean.mSwing = std::max(mean.mSwing, one.mSwing);
    std::transform(one.mGranted.begin(), one.mGranted.end(), mean.mGranted.begin(),
                   mean.mGranted.begin(), std::plus<>());
  }
  MESSAGE(aName << " at " << aLoad << ": good " << mean.mGood << ", late " << mean.mLate
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

// Guards against waits that last and are therefore taken for the engines' usual time.
TEST_CASE("a burst of a minute is still seen at its end")
{
  CHECK(Mean("going rate", kByRate, 4, 60s).mGood >
        Mean("threshold", { .mThreshold = 0 }, 4, 60s).mGood);
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
  CHECK(WaitOf(least, 200, kStart) == 0);
  CHECK(WaitOf(least, 900, kStart + 1s) == doctest::Approx(700));
  CHECK(WaitOf(least, 200, kStart + 2s) == 0);
}
