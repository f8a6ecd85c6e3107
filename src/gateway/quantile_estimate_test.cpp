#include "gateway/quantile_estimate.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace tamarackweir;
using namespace tamarackweir::gateway;

// Guards against a stopping instance that takes streams by the length of a middling one.
TEST_CASE("the running quantile lies where its share of the samples is below it")
{
  for (const double quantile : { 0.5, 0.95 }) {
    CAPTURE(quantile);
    std::mt19937_64 random(5);
    std::exponential_distribution<double> length(1.0 / 800);
    quantile_estimate estimate;
    int below = 0;
    constexpr int kSamples = 4000;
    constexpr int kSettled = 200;
    for (int i = 0; i < kSettled + kSamples; ++i) {
      const double ms = length(random);
      below += i >= kSettled && ms < estimate.mMs ? 1 : 0;
      RecordQuantile(
        estimate, quantile,
        std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms)));
    }
    CHECK(static_cast<double>(below) / kSamples == doctest::Approx(quantile).epsilon(0.03));
  }
}
