#include "overload/admission.h"

#include "overload/retry.h"
#include "scenario/scenario.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <numeric>
#include <queue>
#include <random>

using namespace tamarackweir;
using namespace tamarackweir::overload;
using nlohmann::json;

namespace {

constexpr time_point kStart{};

/// Simulates a pool of backend servers behind several instances, with callers that retry.
struct model_options
{
  bool mControlled = true;   ///< admission control and retry budget
  std::size_t mServers = 10; ///< each with `mSlots` concurrent requests and a FIFO queue
  std::size_t mSlots = 8;
  double mMeanService = 0.2;      ///< mean of a log-normal distribution, in seconds
  std::size_t mServerQueue = 200; ///< queue length at which a server refuses requests
  std::size_t mInstances = 4;
  duration mDeadline = 1s; ///< relative, for each try of a caller
  int mCallerTries = 3;    ///< 100 to 300 ms apart, or Retry-After if longer
  int mInstanceTries = 3;
  double mBefore = 0.7; ///< offered load relative to capacity in the 10 s before the overload
  double mDuring = 2.0; ///< offered load relative to capacity in the 20 s of overload
  double mAfter = 0.7;  ///< offered load relative to capacity in the 30 s after the overload
};

struct model_result
{
  std::vector<double> mOffered = std::vector<double>(60); ///< new calls per second
  std::vector<double> mGoodput =
    std::vector<double>(60); ///< answers before the deadline, by second of the answer
  std::vector<double> mAnsweredByArrival =
    std::vector<double>(60); ///< answered calls, by second of the call
  std::array<double, kPriorityCount> mCalls{};
  std::array<double, kPriorityCount> mAnswered{};
  double mSent = 0; ///< attempts sent to servers
};

enum class event_kind
{
  NextCall,
  Try,
  ServerDone,
  Timeout,
  Tick,
};

struct model_event
{
  time_point mAt;
  event_kind mKind;
  std::size_t mIndex = 0;
  std::size_t mServer = 0;

  bool operator>(const model_event& aOther) const { return mAt > aOther.mAt; }
};

struct caller_try
{
  std::size_t mCall = 0;
  int mNumber = 0;
  std::size_t mInstance = 0;
  time_point mDeadline{};
  time_point mDispatched{};
  time_point mBegan{};
  bool mInFlight = false;
  bool mEnded = false;
  int mAttempts = 0;
};

struct call_record
{
  time_point mAt{};
  priority mPriority = priority::Normal;
};

struct server
{
  std::size_t mBusy = 0;
  std::deque<std::size_t> mQueue;
};

class pool_model
{
public:
  pool_model(const model_options& aOptions, std::uint64_t aSeed)
    : mOptions(aOptions)
    , mRandom(aSeed)
    , mServers(aOptions.mServers)
    , mAdmission(aOptions.mInstances)
    , mBudgets(aOptions.mInstances)
  {
  }

  model_result Run()
  {
    Push(kStart, event_kind::NextCall, 0);
    Push(kStart, event_kind::Tick, 0);
    while (!mEvents.empty()) {
      const model_event next = mEvents.top();
      mEvents.pop();
      mNow = next.mAt;
      if (mNow >= kStart + 60s) {
        break;
      }
      Handle(next);
    }
    return mResult;
  }

private:
  std::size_t Second(time_point aAt) const
  {
    return static_cast<std::size_t>((aAt - kStart) / std::chrono::seconds(1));
  }

  void Push(time_point aAt, event_kind aKind, std::size_t aIndex, std::size_t aServer = 0)
  {
    mEvents.push({ aAt, aKind, aIndex, aServer });
  }

  duration Seconds(double aSeconds) const
  {
    return duration(static_cast<std::int64_t>(aSeconds * 1e6));
  }

  void Handle(const model_event& aEvent)
  {
    switch (aEvent.mKind) {
      case event_kind::NextCall:
        NewCall();
        break;
      case event_kind::Try:
        Arrive(aEvent.mIndex);
        break;
      case event_kind::ServerDone:
        FinishService(aEvent.mIndex, aEvent.mServer);
        break;
      case event_kind::Timeout:
        if (!mTries[aEvent.mIndex].mEnded) {
          Fail(aEvent.mIndex, {});
        }
        break;
      case event_kind::Tick:
        for (std::size_t i = 0; i < mAdmission.size() && mOptions.mControlled; ++i) {
          Apply(OnTick(mAdmission[i], mNow));
        }
        Push(mNow + 100ms, event_kind::Tick, 0);
        break;
    }
  }

  void NewCall()
  {
    const double load = mNow < kStart + 10s   ? mOptions.mBefore
                        : mNow < kStart + 30s ? mOptions.mDuring
                                              : mOptions.mAfter;
    const double capacity =
      static_cast<double>(mOptions.mServers * mOptions.mSlots) / mOptions.mMeanService;
    const double kind = std::uniform_real_distribution<double>()(mRandom);
    const priority level = kind < 0.3   ? priority::Low
                           : kind < 0.8 ? priority::Normal
                                        : priority::High;
    mCalls.push_back({ mNow, level });
    mResult.mOffered[Second(mNow)] += 1;
    mResult.mCalls[static_cast<std::size_t>(level)] += 1;
    NewTry(mCalls.size() - 1, 1, mNow);
    Push(mNow + Seconds(std::exponential_distribution<double>(load * capacity)(mRandom)),
         event_kind::NextCall, 0);
  }

  void NewTry(std::size_t aCall, int aNumber, time_point aAt)
  {
    caller_try one;
    one.mCall = aCall;
    one.mNumber = aNumber;
    one.mInstance = mRandom() % mOptions.mInstances;
    one.mDeadline = aAt + mOptions.mDeadline;
    mTries.push_back(one);
    Push(aAt, event_kind::Try, mTries.size() - 1);
    Push(one.mDeadline, event_kind::Timeout, mTries.size() - 1);
  }

  void Arrive(std::size_t aTry)
  {
    const caller_try& one = mTries[aTry];
    if (!mOptions.mControlled) {
      Dispatch(aTry);
      return;
    }
    Apply(OnArrival(
      mAdmission[one.mInstance],
      { request_id(std::to_string(aTry)), mCalls[one.mCall].mPriority, one.mDeadline }, mNow));
  }

  void Apply(const admission_actions& aActions)
  {
    for (const refusal& one : aActions.mRefuse) {
      Fail(std::stoul(one.mRequest.Value()), one.mRetryAfter);
    }
    for (const request_id& one : aActions.mDispatch) {
      Dispatch(std::stoul(one.Value()));
    }
  }

  void Dispatch(std::size_t aTry)
  {
    caller_try& one = mTries[aTry];
    one.mInFlight = true;
    one.mDispatched = mNow;
    OnRequest(mBudgets[one.mInstance], mNow);
    for (;;) {
      ++one.mAttempts;
      mResult.mSent += 1;
      const std::size_t first = mRandom() % mServers.size();
      const std::size_t second = mRandom() % mServers.size();
      const auto load = [this](std::size_t aServer) {
        return mServers[aServer].mBusy + mServers[aServer].mQueue.size();
      };
      const std::size_t chosen = load(first) <= load(second) ? first : second;
      if (mServers[chosen].mQueue.size() < mOptions.mServerQueue) {
        mServers[chosen].mQueue.push_back(aTry);
        Serve(chosen);
        return;
      }
      const attempt failed{ .mIdempotent = true,
                            .mNotRun = true,
                            .mResponseStarted = false,
                            .mDeadline = one.mDeadline,
                            .mExpectedDuration = {} };
      const bool again = mOptions.mControlled
                           ? TryAcquireRetry(mBudgets[one.mInstance], failed, mNow)
                           : one.mAttempts < mOptions.mInstanceTries;
      if (!again) {
        Fail(aTry, {});
        return;
      }
    }
  }

  void Serve(std::size_t aServer)
  {
    server& pool = mServers[aServer];
    while (pool.mBusy < mOptions.mSlots && !pool.mQueue.empty()) {
      const std::size_t next = pool.mQueue.front();
      pool.mQueue.pop_front();
      ++pool.mBusy;
      mTries[next].mBegan = mNow;
      const double sigma = 0.5;
      std::lognormal_distribution<double> service(
        std::log(mOptions.mMeanService) - sigma * sigma / 2, sigma);
      Push(mNow + Seconds(service(mRandom)), event_kind::ServerDone, next, aServer);
    }
  }

  void FinishService(std::size_t aTry, std::size_t aServer)
  {
    --mServers[aServer].mBusy;
    Serve(aServer);
    caller_try& one = mTries[aTry];
    if (one.mEnded) {
      return; // The try timed out; its service time was wasted.
    }
    one.mEnded = true;
    mResult.mGoodput[Second(mNow)] += 1;
    mResult.mAnsweredByArrival[Second(mCalls[one.mCall].mAt)] += 1;
    mResult.mAnswered[static_cast<std::size_t>(mCalls[one.mCall].mPriority)] += 1;
    Release(aTry, true);
  }

  void Release(std::size_t aTry, bool aSucceeded)
  {
    caller_try& one = mTries[aTry];
    if (mOptions.mControlled && one.mInFlight) {
      one.mInFlight = false;
      // The first token is sent after a tenth of the service time.
      const duration firstToken = one.mBegan - one.mDispatched + (mNow - one.mBegan) / 10;
      Apply(OnCompletion(mAdmission[one.mInstance],
                         { firstToken, mNow - one.mDispatched, aSucceeded }, mNow));
    }
  }

  void Fail(std::size_t aTry, duration aRetryAfter)
  {
    caller_try& one = mTries[aTry];
    one.mEnded = true;
    const std::size_t call = one.mCall;
    const int number = one.mNumber;
    if (mOptions.mControlled && !one.mInFlight) {
      OnCallerGone(mAdmission[one.mInstance], request_id(std::to_string(aTry)));
    }
    Release(aTry, false);
    if (number < mOptions.mCallerTries) {
      const duration pause = Seconds(std::uniform_real_distribution<double>(0.1, 0.3)(mRandom));
      NewTry(call, number + 1, mNow + std::max(pause, aRetryAfter));
    }
  }

  model_options mOptions;
  std::mt19937_64 mRandom;
  time_point mNow = kStart;
  std::priority_queue<model_event, std::vector<model_event>, std::greater<>> mEvents;
  std::vector<server> mServers;
  std::vector<admission_state> mAdmission;
  std::vector<retry_budget> mBudgets;
  std::deque<caller_try> mTries;
  std::deque<call_record> mCalls;
  model_result mResult;
};

double MeanGoodput(const model_result& aResult, std::size_t aFrom, std::size_t aTo)
{
  const auto begin = aResult.mGoodput.begin();
  return std::accumulate(begin + static_cast<std::ptrdiff_t>(aFrom),
                         begin + static_cast<std::ptrdiff_t>(aTo), 0.0) /
         static_cast<double>(aTo - aFrom);
}

/// Seconds from the end of the overload to the first of three consecutive seconds in each of which
/// at least 95 % of the new calls are answered; 30 if there are none.
std::size_t RecoverySeconds(const model_result& aResult)
{
  std::size_t good = 0;
  for (std::size_t second = 30; second < 55; ++second) {
    good = aResult.mAnsweredByArrival[second] >= 0.95 * aResult.mOffered[second] ? good + 1 : 0;
    if (good == 3) {
      return second - 32;
    }
  }
  return 30;
}

double PeakGoodput(bool aControlled)
{
  double peak = 0;
  for (const double load : { 0.7, 0.8, 0.9, 1.0, 1.1, 1.2 }) {
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const model_options options{ .mControlled = aControlled, .mBefore = load, .mDuring = load };
      sum += MeanGoodput(pool_model(options, seed).Run(), 5, 30) / 3;
    }
    peak = std::max(peak, sum);
  }
  return peak;
}

} // namespace

// Guards against congestion collapse under overload, and against goodput that does not recover.
TEST_CASE("goodput stays high at twice the capacity and recovers after the overload")
{
  const double peak = std::max(PeakGoodput(true), PeakGoodput(false));
  double least = 1e9;
  double mean = 0;
  std::size_t slowest = 0;
  std::array<double, kPriorityCount> answered{};
  double meanOff = 0;
  double recoveryOff = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    const model_result on = pool_model({}, seed).Run();
    const double goodput = MeanGoodput(on, 10, 30);
    CHECK(goodput >= 0.9 * peak);
    CHECK(RecoverySeconds(on) <= 10);
    least = std::min(least, goodput);
    mean += goodput / 100;
    slowest = std::max(slowest, RecoverySeconds(on));
    for (std::size_t i = 0; i < kPriorityCount; ++i) {
      answered[i] += on.mAnswered[i] / on.mCalls[i] / 100;
    }
    if (seed <= 10) {
      const model_result off = pool_model({ .mControlled = false }, seed).Run();
      meanOff += MeanGoodput(off, 10, 30) / 10;
      recoveryOff += static_cast<double>(RecoverySeconds(off)) / 10;
      CHECK(MeanGoodput(off, 10, 30) < 0.5 * peak);
    }
  }
  MESSAGE("peak goodput ", peak, "/s; at twice the capacity with control mean ", mean, ", least ",
          least, " (", mean / peak, " and ", least / peak, " of the peak); without control mean ",
          meanOff, " (", meanOff / peak, ")");
  MESSAGE("recovery with control at most ", slowest, " s; without mean ", recoveryOff,
          " s (30: not within the run)");
  MESSAGE("answered over the run: high ", answered[2], ", normal ", answered[1], ", low ",
          answered[0]);
  CHECK(answered[2] > answered[1]);
  CHECK(answered[1] > answered[0]);
}

// Guards against refusing a high-priority request while a low-priority one stays queued.
TEST_CASE("a full queue sheds the lowest priority first")
{
  admission_state state;
  state.mOptions.mInitialLimit = 2;
  state.mOptions.mMaxQueue = 2;
  const time_point deadline = kStart + 30s;
  OnArrival(state, { request_id("a"), priority::Low, deadline }, kStart);
  OnArrival(state, { request_id("b"), priority::Low, deadline }, kStart);
  OnArrival(state, { request_id("c"), priority::Low, deadline }, kStart);
  OnArrival(state, { request_id("d"), priority::Normal, deadline }, kStart);
  const auto high = OnArrival(state, { request_id("e"), priority::High, deadline }, kStart);
  REQUIRE(high.mRefuse.size() == 1);
  CHECK(high.mRefuse[0].mRequest == request_id("c"));
  const auto low = OnArrival(state, { request_id("f"), priority::Low, deadline }, kStart);
  REQUIRE(low.mRefuse.size() == 1);
  CHECK(low.mRefuse[0].mRequest == request_id("f"));
  const auto done = OnCompletion(state, { 10ms, 100ms, true }, kStart + 100ms);
  CHECK(done.mDispatch == std::vector{ request_id("e") });
}

// Guards against a limiter that refuses all requests and so gets no samples to recover from.
TEST_CASE("requests below the minimum limit are admitted despite a long mean service time")
{
  admission_state state;
  state.mMeanTotal = 1e9;
  const auto actions = OnArrival(state, { request_id("a"), priority::Low, kStart + 1s }, kStart);
  CHECK(actions.mDispatch.size() == 1);
}

// Guards against a baseline, and with it the limit, that drifts up under sustained overload.
TEST_CASE("the baseline is measured again under sustained overload")
{
  const auto run = [](double aProbeFactor) {
    // A server with 50 slots of 100 ms each; the admission queue never runs empty.
    admission_state state;
    state.mOptions.mProbeFactor = aProbeFactor;
    std::uint64_t number = 0;
    double delay = 0;
    for (time_point now = kStart; now < kStart + 900s; now += 100ms) {
      while (QueueLength(state) < 100) {
        OnArrival(state, { request_id(std::to_string(++number)), priority::Normal, now + 3600s },
                  now);
      }
      const double inFlight = static_cast<double>(state.mInFlight);
      delay = std::max(0.0, inFlight - 50) / 50 * 0.1;
      const duration first(static_cast<std::int64_t>((0.01 + delay) * 1e6));
      for (int i = 0; i < 50 && state.mInFlight > 0; ++i) {
        OnCompletion(state, { first, first + 100ms, true }, now);
      }
    }
    return delay;
  };
  const double with = run(0.5);
  const double without = run(1.0);
  MESSAGE("queueing delay after 900 s of overload: with the probe ", with, " s, without ", without,
          " s");
  CHECK(with <= 0.25);
  CHECK(without > 2 * with);
}

// Guards against changed decisions of the admission control and the retry budget.
TEST_CASE("admission and retry scenarios produce the expected decisions")
{
  int files = 0;
  for (const auto& file :
       std::filesystem::directory_iterator(TAMARACKWEIR_SLICE_DIR "/scenarios")) {
    CAPTURE(file.path().string());
    const auto script = scenario::Load(file.path());
    admission_state state;
    state.mOptions.mInitialLimit = script.mSetup.value("limit", 2.0);
    state.mOptions.mMaxLimit = state.mOptions.mInitialLimit;
    state.mOptions.mMaxQueue = script.mSetup.value("queue", std::size_t{ 4 });
    retry_budget budget;
    const auto show = [](const admission_actions& aActions) {
      json shown{ { "dispatch", json::array() }, { "refuse", json::array() } };
      for (const auto& one : aActions.mDispatch) {
        shown["dispatch"].push_back(one.Value());
      }
      for (const auto& one : aActions.mRefuse) {
        shown["refuse"].push_back(one.mRequest.Value());
      }
      return shown;
    };
    const scenario::verb_table verbs{
      { "arrive",
        [&](const json& aWith, time_point aNow) {
          const std::string level = aWith.value("priority", "normal");
          const priority parsed = level == "high"  ? priority::High
                                  : level == "low" ? priority::Low
                                                   : priority::Normal;
          const duration within = std::chrono::milliseconds(aWith.value("deadline_ms", 10000));
          return show(
            OnArrival(state, { request_id(aWith.at("id")), parsed, aNow + within }, aNow));
        } },
      { "complete",
        [&](const json& aWith, time_point aNow) {
          const duration total = std::chrono::milliseconds(aWith.at("total_ms").get<int>());
          return show(OnCompletion(state, { total / 10, total, aWith.value("ok", true) }, aNow));
        } },
      { "tick", [&](const json&, time_point aNow) { return show(OnTick(state, aNow)); } },
      { "requests",
        [&](const json& aWith, time_point aNow) {
          for (int i = 0; i < aWith.at("count").get<int>(); ++i) {
            OnRequest(budget, aNow);
          }
          return json::object();
        } },
      { "retries",
        [&](const json& aWith, time_point aNow) {
          const attempt one{ .mIdempotent = aWith.value("repeatable", true),
                             .mNotRun = aWith.value("not_run", false),
                             .mResponseStarted = aWith.value("delivered", false),
                             .mDeadline = aNow + 10s,
                             .mExpectedDuration = 1s };
          int granted = 0;
          for (int i = 0; i < aWith.at("count").get<int>(); ++i) {
            granted += TryAcquireRetry(budget, one, aNow) ? 1 : 0;
          }
          return json{ { "granted", granted } };
        } },
    };
    const auto mismatches = scenario::Run(script, verbs);
    CHECK_MESSAGE(mismatches.empty(), scenario::Describe(mismatches));
    ++files;
  }
  CHECK(files >= 2);
}
