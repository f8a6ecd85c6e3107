#include "relay/sse_splitter.h"

#include "base/error.h"

#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::relay;

namespace {

const std::string kStream = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\r\ndata: d\r\n\r\n";

} // namespace

// Guards against an event that is cut by the end of a connection and reaches the caller in part.
TEST_CASE("events are passed on whole and unchanged however the bytes are cut")
{
  for (std::size_t cut = 1; cut < kStream.size(); ++cut) {
    raw_events state;
    whole_events first = Cut(state, kStream.substr(0, cut), std::nullopt);
    const whole_events second = Cut(state, kStream.substr(cut), std::nullopt);
    CHECK(first.mBytes + second.mBytes == kStream);
    CHECK(first.mCount + second.mCount == 3);
    CHECK(second.mLastId == 3);
    CHECK(state.mPending.empty());
  }
}

TEST_CASE("an event without its blank line stays behind")
{
  raw_events state;
  const whole_events events = Cut(state, "id: 1\ndata: a\n\nid: 2\ndata: b\n", std::nullopt);
  CHECK(events.mBytes == "id: 1\ndata: a\n\n");
  CHECK(events.mLastId == 1);
}

TEST_CASE("events that the caller has are left out")
{
  raw_events state;
  const whole_events events = Cut(state, kStream, 2);
  CHECK(events.mBytes == "id: 3\r\ndata: d\r\n\r\n");
  CHECK(events.mCount == 1);
}

TEST_CASE("an event without an end is refused at the limit")
{
  raw_events state{ .mMaxEventBytes = 100 };
  CHECK_THROWS_AS(Cut(state, std::string(101, 'x'), std::nullopt), error);
}
