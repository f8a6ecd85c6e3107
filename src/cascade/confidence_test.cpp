#include "cascade/confidence.h"

#include <doctest/doctest.h>

using namespace tamarackweir::cascade;

namespace {

confidence_step MakeStep(int aConfidence, double aLoad = 0)
{
  return { .mSizes = 3, .mConfidence = aConfidence, .mLoad = aLoad, .mMayRunAgain = true };
}

} // namespace

TEST_CASE("a confident model is taken at its word, an unsure one gives way to the largest")
{
  const confidence_options options;
  CHECK_FALSE(NextSize(MakeStep(99), options).has_value());
  CHECK(NextSize(MakeStep(5), options) == 2);
}

TEST_CASE("the largest model has the last word")
{
  const confidence_options options;
  confidence_step step = MakeStep(1);
  step.mSize = 2;
  CHECK_FALSE(NextSize(step, options).has_value());
}

TEST_CASE("an answer is delivered when there may be no other run, or nothing is known of it")
{
  const confidence_options options;
  confidence_step last = MakeStep(1);
  last.mMayRunAgain = false;
  CHECK_FALSE(NextSize(last, options).has_value());
  confidence_step silent = MakeStep(1);
  silent.mConfidence.reset();
  CHECK_FALSE(NextSize(silent, options).has_value());
}

// A large model for one request takes the engine time of several others.
TEST_CASE("under load more answers of the small model are delivered")
{
  const confidence_options options;
  int idle = 0;
  int loaded = 0;
  for (int confidence = 0; confidence <= 100; ++confidence) {
    idle += NextSize(MakeStep(confidence), options) ? 1 : 0;
    loaded += NextSize(MakeStep(confidence, 1), options) ? 1 : 0;
  }
  CHECK(loaded < idle);
}
