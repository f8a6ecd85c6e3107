#include "overload/retry.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace tamarackweir;
using namespace tamarackweir::overload;

namespace {

constexpr time_point kStart{};

} // namespace

// Guards against a retry storm: a retry must not raise the retries of the last 10 s above a tenth
// of the requests. The share may still rise without a retry, when busy seconds leave the window.
TEST_CASE("retries stay within the budget of the sliding window")
{
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    retry_budget budget;
    std::vector<double> requests(120);
    std::vector<double> retries(120);
    for (std::size_t second = 0; second < 120; ++second) {
      const time_point now = kStart + std::chrono::seconds(second);
      const auto load = random() % 200;
      for (std::uint64_t i = 0; i < load; ++i) {
        OnRequest(budget, now);
        requests[second] += 1;
        const attempt failed{ .mIdempotent = true,
                              .mDeadline = now + 10s,
                              .mExpectedDuration = 100ms };
        retries[second] += TryAcquireRetry(budget, failed, now) ? 1 : 0;
      }
      double sentRequests = 0;
      double sentRetries = 0;
      for (std::size_t i = second >= 9 ? second - 9 : 0; i <= second; ++i) {
        sentRequests += requests[i];
        sentRetries += retries[i];
      }
      if (retries[second] > 0) {
        REQUIRE(sentRetries <= std::max(1.0, 0.1 * sentRequests));
      }
    }
  }
}

// Guards against counting retries in another span than the one that the settings bound.
TEST_CASE("the budget counts in the window that is set")
{
  const attempt failed{ .mIdempotent = true, .mDeadline = kStart + 1h, .mExpectedDuration = 0s };
  for (const duration window : { duration(2s), duration(10s), duration(60s) }) {
    CAPTURE(window.count());
    retry_budget budget{ .mRatio = 0.1, .mFixedAllowance = 1, .mWindow = window };
    CHECK(TryAcquireRetry(budget, failed, kStart));
    CHECK_FALSE(TryAcquireRetry(budget, failed, kStart + window * 9 / 10 - 1ms));
    CHECK(TryAcquireRetry(budget, failed, kStart + window));
  }
}

// Guards against running a non-idempotent call twice, and against retries past the deadline.
TEST_CASE("only safe attempts with time left are retried")
{
  retry_budget budget;
  for (int i = 0; i < 1000; ++i) {
    OnRequest(budget, kStart);
  }
  const attempt good{ .mIdempotent = true, .mDeadline = kStart + 10s, .mExpectedDuration = 1s };
  CHECK(TryAcquireRetry(budget, good, kStart));
  attempt other = good;
  other.mIdempotent = false;
  CHECK_FALSE(TryAcquireRetry(budget, other, kStart));
  other.mNotRun = true;
  CHECK(TryAcquireRetry(budget, other, kStart));
  other = good;
  other.mResponseStarted = true;
  CHECK_FALSE(TryAcquireRetry(budget, other, kStart));
  other = good;
  other.mExpectedDuration = 10s;
  CHECK_FALSE(TryAcquireRetry(budget, other, kStart));
}

// Guards against a long latency tail, and against hedges that overload the servers.
TEST_CASE("hedging lowers the p99 with a bounded number of extra requests")
{
  double worstRatio = 0;
  double worstExtra = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    hedge_state state;
    retry_budget budget;
    std::lognormal_distribution<double> usual(std::log(100.0), 0.3);
    std::uniform_real_distribution<double> uniform;
    const auto draw = [&] {
      const double time = uniform(random) < 0.03 ? 2000 : usual(random);
      return duration(static_cast<std::int64_t>(time * 1000));
    };
    std::vector<duration> with;
    std::vector<duration> without;
    double hedges = 0;
    for (int i = 0; i < 5000; ++i) {
      const time_point now = kStart + i * 10ms;
      OnRequest(budget, now);
      const duration first = draw();
      duration answered = first;
      if (const auto delay = HedgeDelay(state); delay && first > *delay) {
        const attempt waiting{ .mIdempotent = true,
                               .mDeadline = now + 30s,
                               .mExpectedDuration = 100ms };
        if (TryAcquireHedge(state, budget, waiting, *delay, false, now)) {
          hedges += 1;
          answered = std::min(first, *delay + draw());
        }
      }
      OnFirstToken(state, answered);
      with.push_back(answered);
      without.push_back(first);
    }
    const auto p99 = [](std::vector<duration> aTimes) {
      std::nth_element(aTimes.begin(), aTimes.begin() + 4950, aTimes.end());
      return static_cast<double>(aTimes[4950].count());
    };
    const double ratio = p99(with) / p99(without);
    CHECK(ratio < 0.5);
    CHECK(hedges <= 0.1 * 5000);
    worstRatio = std::max(worstRatio, ratio);
    worstExtra = std::max(worstExtra, hedges / 5000);
  }
  MESSAGE("p99 with hedging at most ", worstRatio, " of that without; extra requests at most ",
          worstExtra);
}

// Guards against hedging a non-idempotent call, and against hedging under overload.
TEST_CASE("a hedge needs an idempotent call, a wait of the p95 and no overload")
{
  hedge_state state;
  retry_budget budget;
  const attempt call{ .mIdempotent = true, .mDeadline = kStart + 30s, .mExpectedDuration = 100ms };
  CHECK_FALSE(TryAcquireHedge(state, budget, call, 10s, false, kStart));
  for (int i = 1; i <= 100; ++i) {
    OnFirstToken(state, i * 1ms);
  }
  CHECK(HedgeDelay(state) == 96ms);
  attempt other = call;
  other.mIdempotent = false;
  CHECK_FALSE(TryAcquireHedge(state, budget, other, 1s, false, kStart));
  CHECK_FALSE(TryAcquireHedge(state, budget, call, 95ms, false, kStart));
  CHECK_FALSE(TryAcquireHedge(state, budget, call, 1s, true, kStart));
  CHECK(TryAcquireHedge(state, budget, call, 96ms, false, kStart));
  CHECK_FALSE(TryAcquireHedge(state, budget, call, 96ms, false, kStart));
}
