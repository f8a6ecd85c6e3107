#include "entry/instance_settings.h"

#include <doctest/doctest.h>

using namespace tamarackweir;

// Guards against a check that stops at the first fault and makes the operator start again for each.
TEST_CASE("instance settings report all faults at once")
{
  const auto result = entry::ParseInstanceSettings(R"({
    // a comment
    "id": "k-1", "owner": "", "callers": "localhost:1", "tabel": "127.0.0.1:1",
    "caller_threads": 5, "caller_header_kb": 15, "log": {"level": "loud", "format": "xml"} })");
  std::vector<std::string> paths;
  for (const auto& fault : result.mFaults) {
    paths.push_back(fault.mPath);
    CHECK_MESSAGE(!fault.mRemedy.empty(), "expected a remedy for " << fault.mPath);
  }
  for (const char* expected : { "/owner", "/callers", "/tabel", "/caller_threads",
                                "/caller_header_kb", "/log/level", "/log/format", "/table" }) {
    CHECK_MESSAGE(std::find(paths.begin(), paths.end(), expected) != paths.end(),
                  "expected a fault at " << expected);
  }
}

// Guards against a crash on text that is not JSON.
TEST_CASE("instance settings that are not an object are one fault")
{
  CHECK(entry::ParseInstanceSettings("{").mFaults.size() == 1);
  CHECK(entry::ParseInstanceSettings("[1]").mFaults.size() == 1);
  CHECK(entry::ParseInstanceSettings("\xff\xfe").mFaults.size() == 1);
}
