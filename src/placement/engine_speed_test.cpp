#include "placement/engine_speed.h"

#include <array>
#include <doctest/doctest.h>
#include <random>

using namespace tamarackweir;
using namespace tamarackweir::placement;

namespace {

duration Ms(double aMilliseconds)
{
  return std::chrono::duration_cast<duration>(
    std::chrono::duration<double, std::milli>(aMilliseconds));
}

struct engine
{
  double mBaseMs = 0;
  double mMsPerToken = 0;
};

/// Samples of prompts of several lengths; every third one waits behind a prompt that this instance
/// does not know of.
void Observe(engine_speed& aSpeed, const engine& aEngine, int aSamples, std::mt19937_64& aRandom)
{
  constexpr std::array<std::int64_t, 4> kLengths{ 543, 1800, 2890, 9190 };
  std::uniform_real_distribution<double> noise(1, 1.1);
  for (int i = 0; i < aSamples; ++i) {
    const std::int64_t tokens = kLengths.at(aRandom() % kLengths.size());
    const std::int64_t ahead = i % 3 == 0 ? kLengths.at(aRandom() % kLengths.size()) : 0;
    RecordFirstEvent(
      aSpeed, tokens,
      Ms((aEngine.mBaseMs + aEngine.mMsPerToken * static_cast<double>(tokens + ahead)) *
         noise(aRandom)));
  }
}

} // namespace

// Guards against a cost that is guessed from the place of a model in a list: a caller would wait
// behind prompts of a large model that is taken for a fast one.
TEST_CASE("the time to prefill a token is learned, whatever the engine's speed")
{
  for (const double factor : { 0.05, 0.3, 1.0, 3.0, 20.0 }) {
    CAPTURE(factor);
    std::mt19937_64 random(7);
    engine_speed speed;
    const engine actual{ .mBaseMs = 10 * factor, .mMsPerToken = 0.1 * factor };
    Observe(speed, actual, 100, random);
    CHECK(PrefillTimeOf(speed).mMsPerToken == doctest::Approx(actual.mMsPerToken).epsilon(0.2));
  }
}

TEST_CASE("the estimate follows an engine that becomes faster or slower")
{
  for (const double factor : { 0.3, 3.0 }) {
    CAPTURE(factor);
    std::mt19937_64 random(11);
    engine_speed speed;
    Observe(speed, { .mBaseMs = 10, .mMsPerToken = 0.1 }, 200, random);
    Observe(speed, { .mBaseMs = 10 * factor, .mMsPerToken = 0.1 * factor }, 400, random);
    CHECK(PrefillTimeOf(speed).mMsPerToken == doctest::Approx(0.1 * factor).epsilon(0.2));
  }
}

TEST_CASE("one answer that is held up for seconds hardly changes the estimate")
{
  std::mt19937_64 random(3);
  engine_speed speed;
  Observe(speed, { .mBaseMs = 10, .mMsPerToken = 0.1 }, 100, random);
  const double before = PrefillMs(PrefillTimeOf(speed), 1800);
  RecordFirstEvent(speed, 1800, 8s);
  CHECK(PrefillMs(PrefillTimeOf(speed), 1800) == doctest::Approx(before).epsilon(0.05));
}

TEST_CASE("prompts of one length give the time of such prompts")
{
  engine_speed speed;
  for (int i = 0; i < 50; ++i) {
    RecordFirstEvent(speed, 2000, 600ms);
  }
  CHECK(PrefillMs(PrefillTimeOf(speed), 2000) == doctest::Approx(600).epsilon(0.01));
  CHECK(PrefillMs(PrefillTimeOf(speed), 4000) > 800);
}

// Guards against a load that follows from how soon callers want answers: engines that take their
// usual time are not busy, whatever the route's target latency.
TEST_CASE("the load is the share of the time to a first event beyond that on an idle engine")
{
  engine_load load;
  for (int i = 0; i < 50; ++i) {
    RecordLoad(load, 900, 900ms);
  }
  CHECK(load.mBusyShare == doctest::Approx(0));
  for (int i = 0; i < 50; ++i) {
    RecordLoad(load, 900, 3600ms);
  }
  CHECK(load.mBusyShare == doctest::Approx(0.75).epsilon(0.01));
  for (int i = 0; i < 50; ++i) {
    RecordLoad(load, 900, 600ms);
  }
  CHECK(load.mBusyShare == doctest::Approx(0).epsilon(0.01));
}

TEST_CASE("without samples the estimate is the stated prior")
{
  CHECK(PrefillTimeOf({}).mMsPerToken == prefill_time{}.mMsPerToken);
}
