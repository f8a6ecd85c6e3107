#include "placement/load_board.h"

#include "base/error.h"

#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::placement;

namespace {

constexpr time_point kStart = time_point(100s);

} // namespace

TEST_CASE("the totals are the sums over the other instances' latest reports")
{
  load_board board;
  RecordReport(board, "a", { { 1, { .mPrefillMs = 10, .mRequests = 1 } } }, kStart);
  RecordReport(board, "b", { { 1, { .mPrefillMs = 5, .mRequests = 2 } } }, kStart);
  RecordReport(board, "b", { { 1, { .mPrefillMs = 7, .mRequests = 3 } } }, kStart);
  RecordReport(board, "c", { { 2, { .mPrefillMs = 1, .mRequests = 1 } } }, kStart);
  const load_report totals = Totals(board, "c", kStart);
  CHECK(totals == load_report{ { 1, server_load{ .mPrefillMs = 17, .mRequests = 4 } } });
}

TEST_CASE("a report expires after its lifetime")
{
  load_board board;
  RecordReport(board, "a", { { 1, { .mRequests = 1 } } }, kStart);
  CHECK(Totals(board, "", kStart + kLoadLifetime).size() == 1);
  CHECK(Totals(board, "", kStart + kLoadLifetime + 1ms).empty());
  CHECK(board.mReports.empty());
}

TEST_CASE("a message is decoded as encoded, and a malformed one is rejected")
{
  const load_message sent{ .mInstance = "a",
                           .mIsTotals = true,
                           .mLoads = {
                             { 0xffffffffU, { .mPrefillMs = 90'000, .mRequests = 200 } } } };
  const std::string bytes = Encode(sent);
  const load_message read = DecodeLoads(bytes);
  CHECK(read.mInstance == "a");
  CHECK(read.mIsTotals);
  CHECK_FALSE(read.mAsksForTotals);
  CHECK(read.mLoads == sent.mLoads);
  CHECK_THROWS_AS(DecodeLoads("?"), error);
  CHECK_THROWS_AS(DecodeLoads(bytes.substr(0, bytes.size() - 1)), error);
}

TEST_CASE("the load of other instances is set for each server, expires, and is cleared")
{
  backends::fleet fleet;
  backends::Announce(fleet, { .mId = server_id("s"), .mService = service_id("llm") }, kStart);
  backends::backend_server& server = *fleet.mServers.begin()->second;
  server.mInFlight = 2;
  server.mPrefillMs = 30;
  const load_report own = OwnLoads(fleet);
  ApplyTotals(fleet, own, kStart);
  CHECK(backends::RequestsAt(server, kStart) == 4);
  CHECK(backends::PrefillMsAt(server, kStart) == doctest::Approx(60));
  CHECK(backends::RequestsAt(server, kStart + kLoadLifetime + 1ms) == 2);
  ApplyTotals(fleet, {}, kStart);
  CHECK(backends::RequestsAt(server, kStart) == 2);
}
