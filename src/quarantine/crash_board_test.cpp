#include "quarantine/crash_board.h"

#include "base/error.h"
#include "quarantine/crash_message.h"

#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::quarantine;

namespace {

constexpr time_point kStart = time_point(1000s);
const cause_key kCommon(1);
const cause_key kDeadly(2);

/// The crash of server `aServer` under a request with these parts.
crash_record Crash(std::uint64_t aServer, time_point aAt, std::vector<cause_key> aParts,
                   run_stage aStage = run_stage::JustBegun)
{
  static std::uint64_t sLastId = 0;
  return { .mId = ++sLastId,
           .mServer = aServer,
           .mStage = aStage,
           .mParts = std::move(aParts),
           .mAt = aAt,
           .mIsOwn = true };
}

/// Looks for suspects now and once other instances have had time to answer.
std::optional<cause_key> QuarantineInTime(crash_board& aBoard, time_point aNow)
{
  CHECK_FALSE(QuarantineWorstSuspect(aBoard, aNow));
  return QuarantineWorstSuspect(aBoard, aNow + aBoard.mOptions.mQuestionTime);
}

/// A board that knows three crashes, a second apart, under requests with the deadly part.
crash_board BoardWithThreeCrashes()
{
  crash_board board;
  for (int i = 0; i < 3; ++i) {
    RecordCrash(board, Crash(i, kStart + i * 1s, { kCommon, kDeadly }));
  }
  return board;
}

} // namespace

TEST_CASE("a part that crashes servers is told from a sound part of the same requests")
{
  crash_board board;
  RecordAnswer(board, { kCommon }, kStart - 5s);
  for (int i = 0; i < 3; ++i) {
    RecordCrash(board, Crash(i, kStart + i * 1s, { kCommon, kDeadly }));
  }
  // Requests that were streaming on the same servers broke with them.
  RecordCrash(board, Crash(0, kStart, { kCommon, cause_key(3) }, run_stage::Streaming));
  RecordCrash(board, Crash(1, kStart + 1s, { kCommon, cause_key(4) }, run_stage::Waiting));
  CHECK(QuarantineInTime(board, kStart + 2s) == kDeadly);
  CHECK(IsQuarantined(board, { kCommon, kDeadly }, kStart + 3s));
  CHECK_FALSE(IsQuarantined(board, { kCommon, cause_key(3) }, kStart + 3s));
}

TEST_CASE("servers that crash at the same moment, as in a power cut, do not convict a part")
{
  crash_board board;
  for (int i = 0; i < 40; ++i) {
    RecordCrash(board, Crash(i, kStart + i * 5ms, { kDeadly }));
  }
  CHECK_FALSE(QuarantineInTime(board, kStart + 2s));
}

TEST_CASE("a part of which another instance has answered a request is not quarantined")
{
  crash_board board = BoardWithThreeCrashes();
  CHECK_FALSE(QuarantineWorstSuspect(board, kStart + 2s));
  const auto question = MakeMessage(board, false, kStart + 2s);
  REQUIRE(question);

  crash_board other;
  RecordAnswer(other, { kCommon, kDeadly }, kStart + 2500ms);
  CHECK(ApplyMessage(other, *question, kStart + 2500ms).empty());
  const auto answer = MakeMessage(other, false, kStart + 2500ms);
  REQUIRE(answer);
  CHECK(ApplyMessage(board, *answer, kStart + 2500ms).empty());
  CHECK_FALSE(QuarantineWorstSuspect(board, kStart + 4s));
}

TEST_CASE("an answer that was under way when its part was quarantined lifts the quarantine")
{
  crash_board board = BoardWithThreeCrashes();
  REQUIRE(QuarantineInTime(board, kStart + 2s) == kDeadly);
  RecordAnswer(board, { kCommon, kDeadly }, kStart + 5s);
  CHECK_FALSE(IsQuarantined(board, { kDeadly }, kStart + 5s));
}

TEST_CASE("after its quarantine a part is quarantined for longer at the first crash")
{
  crash_board board = BoardWithThreeCrashes();
  REQUIRE(QuarantineInTime(board, kStart + 2s));
  const time_point end = kStart + 3s + board.mOptions.mFirstTerm;
  RemoveExpired(board, end);
  CHECK_FALSE(IsQuarantined(board, { kDeadly }, end));
  RecordCrash(board, Crash(9, end + 1s, { kCommon, kDeadly }));
  CHECK(QuarantineInTime(board, end + 1s) == kDeadly);
  CHECK(IsQuarantined(board, { kDeadly }, end + board.mOptions.mFirstTerm * 3 / 2));
}

TEST_CASE("a crash message survives its encoding, and a malformed one is refused")
{
  crash_board board = BoardWithThreeCrashes();
  REQUIRE(QuarantineInTime(board, kStart + 2s));
  RecordAnswer(board, { kDeadly }, kStart + 4s);
  const time_point now = kStart + 3s;
  const auto message = MakeMessage(board, true, now);
  REQUIRE(message);
  const std::string bytes = Encode(*message, now);
  CHECK(IsCrashMessage(bytes));
  const time_point otherClock = kStart + 500s;
  const crash_message decoded = DecodeCrashes(bytes, otherClock);
  REQUIRE(decoded.mCrashes.size() == message->mCrashes.size());
  CHECK(decoded.mCrashes[0].mParts == message->mCrashes[0].mParts);
  CHECK(otherClock - decoded.mCrashes[0].mAt == now - message->mCrashes[0].mAt);
  CHECK_FALSE(decoded.mCrashes[0].mIsOwn);
  CHECK(decoded.mQuarantined.at(kDeadly).mTerm == board.mOptions.mFirstTerm);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_THROWS_AS(DecodeCrashes(bytes.substr(0, size), now), error);
  }
}
