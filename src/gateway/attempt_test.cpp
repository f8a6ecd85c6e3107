#include "gateway/call.h"

#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace tamarackweir;
using namespace tamarackweir::gateway;

// Guards against a server that never counts as idle again, so that its speed is not learned.
TEST_CASE("no work is left at a server once all its prompts are processed")
{
  placement::choice choice{ .mServer = std::make_shared<backends::backend_server>() };
  std::vector<std::unique_ptr<attempt>> attempts;
  for (const double prefillMs : { 0.1, 0.2, 0.3 }) {
    choice.mPrefillMs = prefillMs;
    attempts.push_back(std::make_unique<attempt>(
      choice, false, backends::pending_answer{ .mSent = time_point(1s) }));
  }
  for (const auto& one : attempts) {
    CHECK(choice.mServer->mPrefillMs > 0);
    one->MarkPrefillDone();
  }
  CHECK(choice.mServer->mPrefillMs == 0);
}
