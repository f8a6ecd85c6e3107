#include "placement/speed_board.h"

#include "base/error.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <limits>
#include <random>

using namespace tamarackweir;
using namespace tamarackweir::placement;

namespace {

constexpr time_point kNow = time_point(100s);

/// An instance with few samples, which waited behind unknown prompts if its engines are busy.
engine_speed Observe(double aMsPerToken, bool aIsBusy, std::mt19937_64& aRandom)
{
  constexpr std::array<std::int64_t, 3> kLengths{ 543, 1800, 2890 };
  constexpr double kBaseMs = 10;
  constexpr int kSamples = 5;
  engine_speed speed;
  for (int i = 0; i < kSamples; ++i) {
    const std::int64_t tokens = kLengths.at(aRandom() % kLengths.size());
    const std::int64_t ahead = aIsBusy ? kLengths.at(aRandom() % kLengths.size()) : 0;
    const double ms = kBaseMs + aMsPerToken * static_cast<double>(tokens + ahead);
    RecordFirstEvent(
      speed, tokens,
      std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms)));
  }
  return speed;
}

} // namespace

// Guards against estimates of one model that lie far apart since each instance sees few prompts.
TEST_CASE("the pooled time per token is right though some instances' own estimates are far off")
{
  for (const double factor : { 0.3, 1.0, 3.0, 20.0 }) {
    CAPTURE(factor);
    const double actual = prefill_time{}.mMsPerToken * factor;
    std::mt19937_64 random(5);
    speed_board board;
    double mostMs = 0;
    const double actualMs = PrefillMs({ 10, actual }, 1800);
    for (int i = 0; i < 20; ++i) {
      const auto own = EstimateOf(Observe(actual, i % 3 == 0, random));
      REQUIRE(own);
      mostMs = std::max(mostMs, PrefillMs(own->mTime, 1800));
      RecordSpeeds(board, std::to_string(i), { { 1, *own } }, kNow);
    }
    RecordSpeeds(board, "wrong", { { 1, { .mTime = { 1, 1000 * actual }, .mSamples = 50 } } },
                 kNow);
    const prefill_time pooled = PoolSpeeds(board, kNow).at(1).mTime;
    MESSAGE("time to actual: pooled " << PrefillMs(pooled, 1800) / actualMs << ", worst own "
                                      << mostMs / actualMs);
    CHECK(pooled.mMsPerToken == doctest::Approx(actual).epsilon(0.2));
    CHECK(PrefillMs(pooled, 1800) == doctest::Approx(actualMs).epsilon(0.2));
    CHECK(mostMs > 1.2 * actualMs);
  }
}

TEST_CASE("pooled speeds expire, so that an instance without peers uses its own")
{
  speed_board board;
  board.mPooled = { .mAt = kNow, .mSpeeds = { { 1, { .mSamples = 8 } } } };
  CHECK(PooledSpeed(board, 1, kNow + kSpeedLifetime));
  CHECK_FALSE(PooledSpeed(board, 1, kNow + kSpeedLifetime + 1ms));
  RecordSpeeds(board, "a", board.mPooled.mSpeeds, kNow);
  CHECK(PoolSpeeds(board, kNow + kSpeedLifetime + 1ms).empty());
}

// Guards against a peer's invalid number that spoils all estimates or ends the process.
TEST_CASE("invalid entries of a speed message are skipped, and unreadable messages are errors")
{
  const speed_message sent{
    .mInstance = "a",
    .mAsksForPooled = true,
    .mSpeeds = { { 1, { .mTime = { 5, 0.2 }, .mSamples = 7 } },
                 { 2, { .mTime = { 5, -1 }, .mSamples = 7 } },
                 { 3,
                   { .mTime = { std::numeric_limits<double>::quiet_NaN(), 1 }, .mSamples = 7 } } }
  };
  const std::string bytes = Encode(sent);
  CHECK(IsSpeedMessage(bytes));
  const speed_message received = DecodeSpeeds(bytes);
  CHECK(received.mInstance == "a");
  CHECK(received.mAsksForPooled);
  CHECK(received.mInvalid == 2);
  REQUIRE(received.mSpeeds.size() == 1);
  CHECK(received.mSpeeds.at(1).mTime.mMsPerToken == doctest::Approx(0.2));
  for (std::size_t length = 1; length < bytes.size(); ++length) {
    CHECK_THROWS_AS(DecodeSpeeds(bytes.substr(0, length)), error);
  }
}
