#include "cascade/confidence.h"

#include <doctest/doctest.h>

using namespace tamarackweir::cascade;

namespace {

confidence_step MakeStep(int aConfidence, double aLoad = 0)
{
  return { .mModelCount = 3, .mConfidence = aConfidence, .mLoad = aLoad, .mMayRunAgain = true };
}

} // namespace

TEST_CASE("an answer of low confidence escalates to the largest model")
{
  const confidence_options options;
  CHECK_FALSE(NextModel(MakeStep(99), options).has_value());
  CHECK(NextModel(MakeStep(5), options) == 2);
}

TEST_CASE("the answer of the largest model is always delivered")
{
  const confidence_options options;
  confidence_step step = MakeStep(1);
  step.mModelIndex = 2;
  CHECK_FALSE(NextModel(step, options).has_value());
}

TEST_CASE("an answer is delivered if another run is not allowed or its confidence is unknown")
{
  const confidence_options options;
  confidence_step finalStep = MakeStep(1);
  finalStep.mMayRunAgain = false;
  CHECK_FALSE(NextModel(finalStep, options).has_value());
  confidence_step unknownStep = MakeStep(1);
  unknownStep.mConfidence.reset();
  CHECK_FALSE(NextModel(unknownStep, options).has_value());
}

// Running the large model for one request takes the engine time of several other requests.
TEST_CASE("more answers of the small model are delivered under load")
{
  const confidence_options options;
  int idleEscalations = 0;
  int loadedEscalations = 0;
  for (int confidence = 0; confidence <= 100; ++confidence) {
    idleEscalations += NextModel(MakeStep(confidence), options) ? 1 : 0;
    loadedEscalations += NextModel(MakeStep(confidence, 1), options) ? 1 : 0;
  }
  CHECK(loadedEscalations < idleEscalations);
}

TEST_CASE("an answer is replaced only while the engines have time left")
{
  const confidence_options options;
  CHECK(NextModel(MakeStep(24, 0.5), options).has_value());
  CHECK_FALSE(NextModel(MakeStep(25, 0.5), options).has_value());
  CHECK_FALSE(NextModel(MakeStep(0, 1), options).has_value());
}
