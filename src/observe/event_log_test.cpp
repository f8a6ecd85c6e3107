#include "observe/event_log.h"

#include "net/loop.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

using namespace tamarackweir;
using namespace tamarackweir::observe;

namespace {

/// A pipe that nobody reads until `Read`.
struct quiet_pipe
{
  quiet_pipe() { REQUIRE(pipe(mEnds) == 0); }
  ~quiet_pipe()
  {
    OpenEventLog(event_log_options{});
    close(mEnds[0]);
    close(mEnds[1]);
  }

  std::string Read()
  {
    fcntl(mEnds[0], F_SETFL, O_NONBLOCK);
    std::string text;
    char bytes[4096];
    for (ssize_t size = read(mEnds[0], bytes, sizeof bytes); size > 0;
         size = read(mEnds[0], bytes, sizeof bytes)) {
      text.append(bytes, static_cast<std::size_t>(size));
    }
    return text;
  }

  int mEnds[2]{};
};

void WriteLines(int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    event_line("flood").Number("i", i).Text("padding", std::string(100, 'x')).Write();
  }
}

std::vector<nlohmann::json> Parse(const std::string& aText)
{
  std::vector<nlohmann::json> lines;
  std::istringstream text(aText);
  for (std::string line; std::getline(text, line);) {
    lines.push_back(nlohmann::json::parse(line));
  }
  return lines;
}

} // namespace

// A reader that does not read must not hold up requests: the test would hang if a write waited.
TEST_CASE("a flood never waits for the reader, and stays within the buffer")
{
  quiet_pipe pipe;
  OpenEventLog({ .mDescriptor = pipe.mEnds[1],
                 .mLinesPerSecond = 1e9,
                 .mBurstLines = 1e9,
                 .mBufferBytes = 1U << 16U });
  for (int i = 0; i < 50; ++i) {
    WriteLines(1000);
    FlushEventLog(net::Now());
  }
  CHECK(DroppedLines() > 40'000);
}

TEST_CASE("lines above the rate are dropped, counted and told")
{
  quiet_pipe pipe;
  OpenEventLog({ .mDescriptor = pipe.mEnds[1], .mLinesPerSecond = 10, .mBurstLines = 5 });
  const time_point start = net::Now();
  FlushEventLog(start);
  WriteLines(25);
  CHECK(DroppedLines() == 20);
  FlushEventLog(start + 1s);
  WriteLines(3);
  FlushEventLog(start + 2s);
  const auto lines = Parse(pipe.Read());
  REQUIRE(lines.size() == 9);
  CHECK(lines[5].at("event") == "log_dropped");
  CHECK(lines[5].at("lines") == 20);
}

TEST_CASE("a line is one JSON object whatever its texts hold")
{
  quiet_pipe pipe;
  OpenEventLog({ .mDescriptor = pipe.mEnds[1] });
  event_line("odd")
    .Text("text", "a\"b\\c\nd\x01\xff")
    .Number("number", -5)
    .Real("real", 0.25)
    .Flag("flag", true)
    .Millis("ms", 1500us)
    .Write();
  FlushEventLog(net::Now());
  const auto lines = Parse(pipe.Read());
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].at("event") == "odd");
  CHECK(lines[0].at("number") == -5);
  CHECK(lines[0].at("flag") == true);
  CHECK(lines[0].at("ms") == 1.5);
}
