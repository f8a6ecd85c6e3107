#include "relay/sse_splitter.h"

#include "base/error.h"

#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::relay;

namespace {

const std::string kStream = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\r\ndata: d\r\n\r\n";

} // namespace

// Guards against forwarding part of an event when the connection closes in the middle of it.
TEST_CASE("events are forwarded complete and unchanged for every split of the bytes")
{
  for (std::size_t split = 1; split < kStream.size(); ++split) {
    sse_splitter splitter;
    complete_events first = ExtractCompleteEvents(splitter, kStream.substr(0, split), std::nullopt);
    const complete_events second =
      ExtractCompleteEvents(splitter, kStream.substr(split), std::nullopt);
    CHECK(first.mBytes + second.mBytes == kStream);
    CHECK(first.mCount + second.mCount == 3);
    CHECK(second.mLastId == 3);
    CHECK(splitter.mIncompleteEvent.empty());
  }
}

TEST_CASE("an event without a terminating blank line is held back")
{
  sse_splitter splitter;
  const complete_events events =
    ExtractCompleteEvents(splitter, "id: 1\ndata: a\n\nid: 2\ndata: b\n", std::nullopt);
  CHECK(events.mBytes == "id: 1\ndata: a\n\n");
  CHECK(events.mLastId == 1);
}

TEST_CASE("events that the caller already has are skipped")
{
  sse_splitter splitter;
  const complete_events events = ExtractCompleteEvents(splitter, kStream, 2);
  CHECK(events.mBytes == "id: 3\r\ndata: d\r\n\r\n");
  CHECK(events.mCount == 1);
}

TEST_CASE("an unterminated event is rejected at the size limit")
{
  sse_splitter splitter{ .mMaxEventBytes = 100 };
  CHECK_THROWS_AS(ExtractCompleteEvents(splitter, std::string(101, 'x'), std::nullopt), error);
}
