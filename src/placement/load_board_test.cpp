#include "placement/load_board.h"

#include "base/error.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace tamarackweir;
using namespace tamarackweir::placement;

namespace {

constexpr time_point kStart = time_point(100s);

} // namespace

TEST_CASE("the totals are the sums over the other instances' latest reports")
{
  load_board board;
  RecordReport(
    board, { .mInstance = "a", .mLoads = { { 1, { .mPrefillMs = 10, .mRequests = 1 } } } }, kStart);
  RecordReport(
    board, { .mInstance = "b", .mLoads = { { 1, { .mPrefillMs = 5, .mRequests = 2 } } } }, kStart);
  RecordReport(
    board, { .mInstance = "b", .mLoads = { { 1, { .mPrefillMs = 7, .mRequests = 3 } } } }, kStart);
  RecordReport(
    board, { .mInstance = "c", .mLoads = { { 2, { .mPrefillMs = 1, .mRequests = 1 } } } }, kStart);
  const load_report totals = Totals(board, "c", kStart);
  CHECK(totals == load_report{ { 1, server_load{ .mPrefillMs = 17, .mRequests = 4 } } });
}

TEST_CASE("a report expires after its lifetime")
{
  load_board board;
  RecordReport(board, { .mInstance = "a", .mLoads = { { 1, { .mRequests = 1 } } } }, kStart);
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
  const std::string bytes = Encode(sent, kStart);
  const load_message read = DecodeLoads(bytes, kStart);
  CHECK(read.mInstance == "a");
  CHECK(read.mIsTotals);
  CHECK_FALSE(read.mAsksForTotals);
  CHECK(read.mLoads == sent.mLoads);
  CHECK_THROWS_AS(DecodeLoads("?", kStart), error);
  CHECK_THROWS_AS(DecodeLoads(bytes.substr(0, bytes.size() - 1), kStart), error);
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

// Guards against datagrams that are cut off, or messages of earlier releases that are rejected.
TEST_CASE("a message fits into a datagram, and messages of earlier releases are understood")
{
  load_message totals{ .mInstance = "a", .mIsTotals = true };
  constexpr int kServers = 900;
  for (std::uint64_t i = 0; i < kServers; ++i) {
    totals.mLoads[0xffff0000U + i] = { .mPrefillMs = 90'000, .mRequests = 300 };
  }
  for (std::uint64_t i = 0; i < backends::kMaxPooledServers; ++i) {
    totals.mSeen.push_back({ .mServer = 0xffff0000U + i,
                             .mStart = 0xffffffffU,
                             .mFailed = 200,
                             .mTried = 300,
                             .mFailedAt = kStart - std::chrono::milliseconds(i),
                             .mAliveAt = kStart - 2s,
                             .mFullAt = kStart - 2s,
                             .mSlowdown = 3,
                             .mSamples = 6000 });
  }
  const std::string bytes = Encode(totals, kStart);
  CHECK(bytes.size() <= kMaxMessageBytes);
  const load_message read = DecodeLoads(bytes, kStart);
  MESSAGE(read.mLoads.size() << " loads and " << read.mSeen.size() << " observations in "
                             << bytes.size() << " bytes");
  CHECK(read.mLoads.size() == kServers);
  CHECK(read.mSeen.size() > 100);
  CHECK(std::equal(read.mSeen.begin(), read.mSeen.end(), totals.mSeen.begin()));
  CHECK(read.mSkipped == 0);

  const auto encode = [](const nlohmann::json& aMessage) {
    const auto packed = nlohmann::json::to_msgpack(aMessage);
    return std::string(packed.begin(), packed.end());
  };
  const std::string earlier = encode({ "a", false, true, { 1, 2, 3 }, "ms" });
  CHECK(DecodeLoads(earlier, kStart).mLoads.at(1).mRequests == 3);
  const load_message invalid =
    DecodeLoads(encode({ "a", false, true, { 1, -2, 3, 2, 2, 3 }, "ms", "?" }), kStart);
  CHECK(invalid.mLoads.size() == 1);
  CHECK(invalid.mSkipped == 2);
}
