#include "quarantine/crash_board.h"

#include "base/error.h"
#include "quarantine/crash_message.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace tamarackweir;
using namespace std::chrono_literals;
using namespace tamarackweir::quarantine;

namespace {

constexpr time_point kStart = time_point(1000s);
const cause_key kCommon(1);
const cause_key kDeadly(2);
const cause_key kRequest(77);

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

/// The crash of server `aServer` under a request without a prompt.
crash_record RequestCrash(std::uint64_t aServer, time_point aAt, cause_key aRequest)
{
  crash_record crash = Crash(aServer, aAt, {});
  crash.mRequest = aRequest;
  return crash;
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
  CHECK(ApplyMessage(other, *question, kStart + 2500ms).mQuarantined.empty());
  const auto answer = MakeMessage(other, false, kStart + 2500ms);
  REQUIRE(answer);
  CHECK(ApplyMessage(board, *answer, kStart + 2500ms).mQuarantined.empty());
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

// Guards against a request that keeps crashing servers because no other one shares its prompt.
TEST_CASE("a request that crashes servers is quarantined, however seldom it comes")
{
  crash_board board;
  RecordCrash(board, RequestCrash(0, kStart, kRequest));
  RecordCrash(board, RequestCrash(1, kStart + 4min, kRequest));
  CHECK_FALSE(QuarantineInTime(board, kStart + 5min));
  RemoveExpired(board, kStart + 8min);
  RecordCrash(board, RequestCrash(2, kStart + 8min, kRequest));
  const time_point now = kStart + 8min + board.mOptions.mQuestionTime;
  CHECK(QuarantineWorstSuspect(board, now) == kRequest);
  CHECK(IsQuarantined(board, { kRequest }, now + board.mOptions.mFirstRequestTerm - 1s));
  CHECK_FALSE(IsQuarantined(board, { cause_key(78) }, now));
}

TEST_CASE("a request that was answered between the crashes is not quarantined")
{
  crash_board board;
  RecordCrash(board, RequestCrash(0, kStart, kRequest));
  RecordCrash(board, RequestCrash(1, kStart + 1s, kRequest));
  RecordRequestAnswer(board, kRequest, kStart + 1500ms);
  RecordCrash(board, RequestCrash(2, kStart + 2s, kRequest));
  CHECK_FALSE(QuarantineInTime(board, kStart + 3s));
}

TEST_CASE("a crash that is reported late or again does not count after an answer, or twice")
{
  crash_board board;
  const crash_record first = RequestCrash(0, kStart, kRequest);
  RecordCrash(board, first);
  RecordCrash(board, RequestCrash(1, kStart + 1s, kRequest));
  RecordCrash(board, first);
  CHECK_FALSE(QuarantineInTime(board, kStart + 2s));
  RecordRequestAnswer(board, kRequest, kStart + 3s);
  RecordCrash(board, first);
  CHECK(board.mRequests.empty());
}

TEST_CASE("servers that crash at the same moment, as in a power cut, do not convict a request")
{
  crash_board board;
  for (int i = 0; i < 40; ++i) {
    RecordCrash(board, RequestCrash(i, kStart + i * 5ms, kRequest));
  }
  CHECK_FALSE(QuarantineInTime(board, kStart + 2s));
}

// Guards against refusing all requests with a part because one of them crashes servers.
TEST_CASE(
  "one request that crashes again and again convicts itself and not the parts of its prompt")
{
  crash_board board;
  RecordAnswer(board, { kCommon, kDeadly }, kStart - 1min);
  const auto crash = [&board](int aServer, time_point aAt, cause_key aRequest) {
    crash_record record = RequestCrash(aServer, aAt, aRequest);
    record.mParts = { kCommon, kDeadly };
    RecordCrash(board, record);
  };
  for (int i = 0; i < 3; ++i) {
    crash(i, kStart + i * 1s, kRequest);
  }
  CHECK(QuarantineInTime(board, kStart + 3s) == kRequest);
  CHECK_FALSE(QuarantineInTime(board, kStart + 4s));
  CHECK_FALSE(IsQuarantined(board, { kCommon, kDeadly }, kStart + 5s));
  // Another request with the part crashes a server too, so it is the part after all.
  crash(3, kStart + 6s, cause_key(78));
  CHECK(QuarantineWorstSuspect(board, kStart + 6s) == kDeadly);
}

TEST_CASE(
  "an instance that learns of a quarantined request from a peer refuses it for the same time")
{
  crash_board board;
  for (int i = 0; i < 3; ++i) {
    RecordCrash(board, RequestCrash(i, kStart + i * 1s, kRequest));
  }
  const time_point now = kStart + 3s;
  REQUIRE(QuarantineInTime(board, now) == kRequest);
  const auto message = MakeMessage(board, true, now + 1s);
  REQUIRE(message);

  crash_board other;
  RecordCrash(other, RequestCrash(7, kStart, kRequest));
  const crash_message decoded = DecodeCrashes(Encode(*message, now + 1s), now + 1s);
  CHECK(ApplyMessage(other, decoded, now + 1s).mQuarantined == std::vector{ kRequest });
  CHECK(other.mQuarantined.at(kRequest).mIsRequest);
  // Crashes that led to it, or that come during it, are not counted towards another one.
  RecordCrash(other, RequestCrash(8, now + 2s, kRequest));
  CHECK(other.mRequests.empty());
  CHECK(IsQuarantined(other, { kRequest }, now + 10min));
}

TEST_CASE("crashes of many requests are remembered in bounded size, the newest ones")
{
  crash_board board;
  board.mOptions.mMaxRequests = 10;
  for (int i = 0; i < 50; ++i) {
    const auto key = static_cast<std::uint64_t>(i) + 100;
    RecordCrash(board, RequestCrash(i, kStart + i * 1s, cause_key(key)));
    RecordRequestAnswer(board, cause_key(key + 1000), kStart + i * 1s);
  }
  CHECK(board.mRequests.size() == 10);
  CHECK(board.mRequests.contains(cause_key(149)));
  CHECK(board.mAnsweredRequests.size() + board.mEarlierAnsweredRequests.size() <= 20);
}

TEST_CASE("a crash message of an earlier release, which has no fingerprints, is understood")
{
  const nlohmann::json message{
    { "crashes", nlohmann::json::array({ { 1, 2, 1, 100, { 5 } } }) },
    { "watched", nlohmann::json::array() },
    { "answered", nlohmann::json::array() },
    { "quarantined", nlohmann::json::array({ { 5, 100, 60000 } }) },
  };
  const auto bytes = nlohmann::json::to_msgpack(message);
  const crash_message decoded =
    DecodeCrashes({ reinterpret_cast<const char*>(bytes.data()), bytes.size() }, kStart);
  CHECK(decoded.mCrashes.at(0).mRequest == cause_key());
  CHECK_FALSE(decoded.mQuarantined.at(cause_key(5)).mIsRequest);
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

// Guards against evidence that is lost without a trace in the log.
TEST_CASE("a crash that adds nothing to the evidence says why")
{
  crash_board board;
  const crash_record first = RequestCrash(0, kStart, kRequest);
  CHECK(RecordCrash(board, first) == crash_effect::Counted);
  CHECK(RecordCrash(board, first) == crash_effect::Known);
  CHECK(RecordCrash(board, RequestCrash(1, kStart + 100ms, kRequest)) == crash_effect::Merged);
  CHECK(RecordCrash(board, Crash(2, kStart, { kDeadly })) == crash_effect::NoRequest);
  RecordRequestAnswer(board, kRequest, kStart + 1s);
  CHECK(RecordCrash(board, RequestCrash(3, kStart + 500ms, kRequest)) == crash_effect::Answered);
  for (int i = 4; i < 7; ++i) {
    CHECK(RecordCrash(board, RequestCrash(i, kStart + i * 1s, kRequest)) == crash_effect::Counted);
  }
  REQUIRE(QuarantineInTime(board, kStart + 7s) == kRequest);
  CHECK(RecordCrash(board, RequestCrash(7, kStart + 8s, kRequest)) == crash_effect::Quarantined);
}

// Guards against counting once the crashes of a request that goes from server to server at once.
TEST_CASE("crashes close together convict a request if each of its runs began after the last one")
{
  crash_board board;
  for (int i = 0; i < 3; ++i) {
    crash_record crash = RequestCrash(i, kStart + i * 60ms, kRequest);
    crash.mSent = crash.mAt - 50ms;
    CHECK(RecordCrash(board, crash) == crash_effect::Counted);
  }
  CHECK(QuarantineInTime(board, kStart + 1s) == kRequest);
}

// Guards against a request that crashes all servers at one moment each time that it comes.
TEST_CASE("a request is run alone after three crashes at one moment, and convicted by the next one")
{
  crash_board board;
  for (int i = 0; i < 2; ++i) {
    RecordCrash(board, RequestCrash(i, kStart + i * 5ms, kRequest));
  }
  CHECK_FALSE(IsOnTrial(board, kRequest, kStart + 1s));
  RecordCrash(board, RequestCrash(2, kStart + 10ms, kRequest));
  CHECK(IsOnTrial(board, kRequest, kStart + 1s));
  CHECK_FALSE(IsOnTrial(board, cause_key(78), kStart + 1s));
  CHECK_FALSE(QuarantineInTime(board, kStart + 1s));
  RecordCrash(board, RequestCrash(3, kStart + 2s, kRequest));
  CHECK(QuarantineWorstSuspect(board, kStart + 2s) == kRequest);
  CHECK_FALSE(IsOnTrial(board, kRequest, kStart + 3s));
}

TEST_CASE("a complete answer ends a trial, and a quarantine ends in one")
{
  crash_board board;
  for (int i = 0; i < 3; ++i) {
    RecordCrash(board, RequestCrash(i, kStart, kRequest));
  }
  RecordRequestAnswer(board, kRequest, kStart + 1s);
  CHECK_FALSE(IsOnTrial(board, kRequest, kStart + 1s));
  for (int i = 3; i < 6; ++i) {
    RecordCrash(board, RequestCrash(i, kStart + i * 1s, kRequest));
  }
  REQUIRE(QuarantineInTime(board, kStart + 6s) == kRequest);
  const time_point end = kStart + 7s + board.mOptions.mFirstRequestTerm;
  CHECK(IsOnTrial(board, kRequest, end));
  RecordRequestAnswer(board, kRequest, end);
  CHECK_FALSE(IsOnTrial(board, kRequest, end + 1s));
}

TEST_CASE("an instance without evidence of its own learns of a trial, and of its end")
{
  crash_board board;
  for (int i = 0; i < 3; ++i) {
    RecordCrash(board, RequestCrash(i, kStart, kRequest));
  }
  const time_point now = kStart + 5s;
  CHECK_FALSE(QuarantineWorstSuspect(board, now));
  const trial_claims claims{ { kRequest, { .mOwner = 3, .mSince = now, .mUntil = now + 2s } } };
  const auto message = MakeMessage(board, false, now, claims);
  REQUIRE(message);
  const crash_message decoded = DecodeCrashes(Encode(*message, now + 100ms), kStart + 100ms);
  CHECK(decoded.mClaims.at(kRequest).mOwner == 3);
  CHECK(decoded.mClaims.at(kRequest).mSince == kStart);
  CHECK(decoded.mClaims.at(kRequest).mUntil == kStart + 2s);
  crash_board other;
  CHECK(ApplyMessage(other, decoded, kStart).mEvidence.empty());
  CHECK(IsOnTrial(other, kRequest, kStart + 1s));
  RecordRequestAnswer(other, kRequest, kStart + 1s);
  CHECK_FALSE(IsOnTrial(other, kRequest, kStart + 1s));
  CHECK(ApplyMessage(other, decoded, kStart + 2s).mEvidence.empty());
  CHECK_FALSE(IsOnTrial(other, kRequest, kStart + 2s + board.mOptions.mTrialMemory));
}

// Guards against evidence that is pushed out by the requests that crashed beside it.
TEST_CASE("requests with the fewest crashes are forgotten first")
{
  crash_board board;
  board.mOptions.mMaxRequests = 10;
  RecordCrash(board, RequestCrash(0, kStart, kRequest));
  RecordCrash(board, RequestCrash(1, kStart + 1s, kRequest));
  for (int i = 2; i < 50; ++i) {
    RecordCrash(board, RequestCrash(i, kStart + i * 1s, cause_key(100 + i)));
  }
  CHECK(board.mRequests.contains(kRequest));
}

// Guards against refusing a sound request for as long as the one that crashed its servers.
TEST_CASE("a request that was on the same servers as a convicted one is run alone, not refused")
{
  const cause_key sound(78);
  crash_board board;
  for (int i = 0; i < 3; ++i) {
    RecordCrash(board, RequestCrash(i, kStart + i * 1s, kRequest));
    RecordCrash(board, RequestCrash(i, kStart + i * 1s, sound));
  }
  RecordCrash(board, RequestCrash(3, kStart + 3s, kRequest));
  REQUIRE(QuarantineInTime(board, kStart + 4s) == kRequest);
  CHECK_FALSE(QuarantineInTime(board, kStart + 5s));
  CHECK(IsOnTrial(board, sound, kStart + 6s));
  // A later report of the same crash does not quarantine it; a crash of another server does.
  RecordCrash(board, RequestCrash(3, kStart + 3s, sound));
  CHECK_FALSE(QuarantineInTime(board, kStart + 6s));
  RecordCrash(board, RequestCrash(4, kStart + 7s, sound));
  CHECK(QuarantineWorstSuspect(board, kStart + 7s) == sound);
}

// Guards against reports that never leave because a loaded server broke many requests at once.
TEST_CASE("all of very many crashes reach another instance")
{
  crash_board board;
  constexpr int kCrashes = 500;
  for (int i = 0; i < kCrashes; ++i) {
    crash_record crash = RequestCrash(1, kStart, cause_key(1000 + i));
    crash.mParts = { kCommon, kDeadly, cause_key(i) };
    RecordCrash(board, crash);
  }
  const auto message = MakeMessage(board, false, kStart + 1s);
  REQUIRE(message);
  crash_board other;
  for (const std::string& part : EncodeInParts(*message, kStart + 1s)) {
    CHECK(part.size() < 16'000);
    ApplyMessage(other, DecodeCrashes(part, kStart + 1s), kStart + 1s);
  }
  CHECK(other.mRequests.size() == kCrashes);
}

// Guards against evidence that dies with its witness, or that an instance is too young to have.
TEST_CASE("an instance that starts after two crashes learns of them from any other one")
{
  crash_board witness;
  RecordCrash(witness, RequestCrash(0, kStart, kRequest));
  RecordCrash(witness, RequestCrash(1, kStart + 1s, kRequest));
  crash_board heard;
  const auto report = MakeMessage(witness, false, kStart + 1s);
  REQUIRE(report);
  ApplyMessage(heard, DecodeCrashes(Encode(*report, kStart + 1s), kStart + 1s), kStart + 1s);
  CHECK_FALSE(QuarantineWorstSuspect(heard, kStart + 1s));

  const time_point later = kStart + 1min;
  RemoveExpired(heard, later);
  CHECK_FALSE(QuarantineWorstSuspect(heard, later));
  const auto reminder = MakeMessage(heard, true, later);
  REQUIRE(reminder);
  crash_board young;
  ApplyMessage(young, DecodeCrashes(Encode(*reminder, later), later), later);
  RecordCrash(young, RequestCrash(2, later + 1s, kRequest));
  CHECK(QuarantineInTime(young, later + 1s) == kRequest);
}
