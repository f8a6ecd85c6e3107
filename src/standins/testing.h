#pragma once

#include "standins/standin.h"

#include <doctest/doctest.h>
#include <thread>

namespace tamarackweir::standins::testing {

/// A client of a stand-in that runs in the test program.
inline httplib::Client ClientOf(const standin& aStandin)
{
  httplib::Client client("127.0.0.1", aStandin.mPort);
  client.set_read_timeout(20, 0);
  return client;
}

/// Sends a JSON document; the result is null where the connection broke.
inline httplib::Result Post(const standin& aStandin, const std::string& aPath, const json& aBody,
                            const httplib::Headers& aHeaders = {})
{
  return ClientOf(aStandin).Post(aPath, aHeaders, aBody.dump(), "application/json");
}

/// Returns a JSON document.
inline json Get(const standin& aStandin, const std::string& aPath)
{
  const auto answer = ClientOf(aStandin).Get(aPath);
  REQUIRE(answer);
  REQUIRE(answer->status == 200);
  return json::parse(answer->body);
}

/// Sets switches.
inline void Set(const standin& aStandin, const json& aSwitches)
{
  const auto answer = Post(aStandin, "/faults", aSwitches);
  REQUIRE(answer);
  INFO(answer->body);
  REQUIRE(answer->status == 200);
}

/// Returns a text followed by a number. The prefix is no literal, because GCC 12 warns falsely
/// (-Wrestrict) about a literal + std::to_string.
inline std::string Numbered(const std::string& aPrefix, int aNumber)
{
  return aPrefix + std::to_string(aNumber);
}

/// Waits until a condition holds; fails the test after 20 s.
template<class Condition>
void Await(const Condition& aCondition)
{
  const time_point end = Now() + 20s;
  while (!aCondition()) {
    REQUIRE_MESSAGE(Now() < end, "the awaited condition did not hold within 20 s");
    std::this_thread::sleep_for(1ms);
  }
}

} // namespace tamarackweir::standins::testing
