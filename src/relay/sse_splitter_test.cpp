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

// Guards against the status line or the text of an error that is taken for an event.
TEST_CASE("the events end at the first one that has a line which is no field, or lacks its id")
{
  for (const char* const wrong :
       { "HTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\n", "{\"error\": \"x\"}\n\n", "overloaded\n\n",
         "data: no id\n\n", "event: error\ndata: x\n\n", "id: 2 x\ndata: y\nBad line\n\n" }) {
    CAPTURE(wrong);
    sse_splitter splitter;
    const complete_events events =
      ExtractCompleteEvents(splitter, "id: 1\ndata: a\n\n" + std::string(wrong), std::nullopt);
    CHECK(events.mFault != nullptr);
    CHECK(events.mBytes == "id: 1\ndata: a\n\n");
  }
}

TEST_CASE("comments, fields without a value and fields of other names belong to the stream")
{
  sse_splitter splitter;
  const std::string stream = "data: first ones need no id\n\n: comment\n\nid: 1\ndata\n\n"
                             "x-weight-versions: 3\nid: 2\nretry: 10\ndata: b\n\n:\n\n\n";
  const complete_events events = ExtractCompleteEvents(splitter, stream, std::nullopt);
  CHECK(events.mFault == nullptr);
  CHECK(events.mBytes == stream);
}

TEST_CASE("an event that comes twice in one piece is passed on once")
{
  sse_splitter splitter;
  const std::string one = "id: 1\ndata: a\n\n";
  CHECK(ExtractCompleteEvents(splitter, one + one, std::nullopt).mBytes == one);
}
