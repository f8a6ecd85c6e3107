#include "relay/relay.h"

#include "base/error.h"
#include "relay/sse.h"
#include "scenario/scenario.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace tamarackweir;
using namespace tamarackweir::relay;
using nlohmann::json;

namespace {

constexpr time_point kStart{};
const request_id kRequest("r-1");

state MakeState(bool aRepeatable = true)
{
  state result;
  result.mCall = { .mRequest = kRequest, .mRepeatable = aRepeatable, .mDeadline = kStart + 60s };
  return result;
}

std::string ToName(next_step aStep)
{
  switch (aStep) {
    case next_step::Continue:
      return "continue";
    case next_step::Finish:
      return "finish";
    case next_step::Resume:
      return "resume";
    case next_step::Restart:
      return "restart";
    case next_step::EndIncomplete:
      return "end_incomplete";
    case next_step::EndUnknown:
      return "end_unknown";
    case next_step::EndNotRun:
      return "end_not_run";
  }
  return "";
}

json ToJson(const actions& aActions)
{
  json result{ { "next", ToName(aActions.mNext) }, { "deliver", aActions.mDeliver } };
  if (aActions.mLastEventId) {
    result["last_event_id"] = *aActions.mLastEventId;
  }
  if (aActions.mCancelAttempt) {
    result["cancel"] = *aActions.mCancelAttempt;
  }
  return result;
}

break_reason ParseReason(const std::string& aName)
{
  return aName == "refused" ? break_reason::Refused : break_reason::Closed;
}

/// A link that loses, duplicates and reorders events and may truncate the stream.
struct link_faults
{
  double mLossProbability = 0.02;
  double mDuplicateProbability = 0.1;
  std::size_t mMaxDisplacement = 4; ///< an event is delayed by up to this many positions
  double mTruncationProbability = 0.3;
  double mForeignProbability = 0.05;
};

std::vector<chunk> SendOverLink(const std::vector<std::string>& aAnswer, std::uint64_t aFrom,
                                int aAttempt, const link_faults& aLinkFaults,
                                std::mt19937_64& aRandom)
{
  std::uniform_real_distribution<double> uniform;
  std::vector<std::pair<double, chunk>> sent;
  const bool truncated = uniform(aRandom) < aLinkFaults.mTruncationProbability;
  const std::uint64_t left = aAnswer.size() - aFrom;
  const std::uint64_t end = truncated ? aFrom + aRandom() % (left + 1) : aAnswer.size();
  for (std::uint64_t id = aFrom; id < end; ++id) {
    const int copies = uniform(aRandom) < aLinkFaults.mLossProbability        ? 0
                       : uniform(aRandom) < aLinkFaults.mDuplicateProbability ? 2
                                                                              : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const double position = static_cast<double>(id) +
                              uniform(aRandom) * static_cast<double>(aLinkFaults.mMaxDisplacement);
      sent.emplace_back(position, chunk{ kRequest, id, aAnswer[id], aAttempt });
    }
    if (uniform(aRandom) < aLinkFaults.mForeignProbability / static_cast<double>(aAnswer.size())) {
      sent.emplace_back(static_cast<double>(id), chunk{ request_id("r-2"), id, "other", aAttempt });
    }
  }
  std::stable_sort(sent.begin(), sent.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first < aRight.first;
  });
  std::vector<chunk> chunks;
  chunks.reserve(sent.size());
  for (auto& [position, event] : sent) {
    chunks.push_back(std::move(event));
  }
  return chunks;
}

struct relay_result
{
  std::vector<std::string> mReceived;
  next_step mEnd = next_step::Continue;
};

/// Relays one answer over a faulty link until the relay ends it.
relay_result Relay(const std::vector<std::string>& aAnswer, const link_faults& aLinkFaults,
                   bool aResumes, std::mt19937_64& aRandom)
{
  state relay = MakeState();
  relay.mOptions.mMaxAttempts = 20;
  relay_result result;
  time_point now = kStart;
  std::vector<chunk> lateEvents;
  while (result.mEnd == next_step::Continue) {
    const int attempt = OnAttempt(relay, aResumes || relay.mNextId == 0, now);
    auto chunks = SendOverLink(aAnswer, relay.mNextId, attempt, aLinkFaults, aRandom);
    // Events of the previous attempt arrive late, between those of this one.
    chunks.insert(chunks.begin() + static_cast<std::ptrdiff_t>(chunks.size() / 2),
                  lateEvents.begin(), lateEvents.end());
    lateEvents = chunks;
    next_step next = next_step::Continue;
    const auto apply = [&](const actions& aActions) {
      result.mReceived.insert(result.mReceived.end(), aActions.mDeliver.begin(),
                              aActions.mDeliver.end());
      if (next == next_step::Continue) {
        next = aActions.mNext;
      }
    };
    for (const chunk& event : chunks) {
      now += 1ms;
      apply(OnChunk(relay, event, now));
    }
    if (next == next_step::Continue) {
      apply(OnBreak(relay, attempt, break_reason::Closed, now));
    }
    if (next == next_step::Resume && !aResumes) {
      next = OnNoServer(relay).mNext;
    }
    if (next != next_step::Resume && next != next_step::Restart) {
      result.mEnd = next;
    }
  }
  return result;
}

std::vector<std::string> MakeAnswer(std::mt19937_64& aRandom)
{
  std::vector<std::string> answer(20 + aRandom() % 80);
  for (std::size_t i = 0; i < answer.size(); ++i) {
    answer[i] = "word " + std::to_string(i);
  }
  answer.push_back("[DONE]");
  return answer;
}

} // namespace

// Guards against an answer that is truncated, mixed, duplicated or out of order without an error.
// For comparison, the raw events of the same link are checked without the relay.
TEST_CASE("a faulty link yields the complete answer or one reported as incomplete")
{
  int complete = 0;
  int incomplete = 0;
  int wrongWithoutRelay = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    for (int i = 0; i < 20; ++i) {
      std::mt19937_64 random(seed * 1000 + static_cast<std::uint64_t>(i));
      const auto answer = MakeAnswer(random);
      const std::vector<std::string> words(answer.begin(), answer.end() - 1);
      const bool resumes = i % 2 == 0;
      const relay_result got = Relay(answer, {}, resumes, random);
      REQUIRE(got.mReceived.size() <= words.size());
      CHECK(std::equal(got.mReceived.begin(), got.mReceived.end(), words.begin()));
      // An answer of which only "[DONE]" was lost is incomplete as well, because the relay can't
      // distinguish it from a truncated one.
      CHECK((got.mEnd != next_step::Finish || got.mReceived == words));
      CHECK((got.mEnd == next_step::Finish || got.mEnd == next_step::EndIncomplete ||
             (got.mEnd == next_step::EndUnknown && got.mReceived.empty())));
      complete += got.mEnd == next_step::Finish ? 1 : 0;
      incomplete += got.mEnd == next_step::EndIncomplete ? 1 : 0;

      std::vector<std::string> receivedWithoutRelay;
      for (const chunk& event : SendOverLink(answer, 0, 1, {}, random)) {
        receivedWithoutRelay.push_back(event.mData);
      }
      wrongWithoutRelay += receivedWithoutRelay == answer ? 0 : 1;
    }
  }
  MESSAGE("complete ", complete, ", reported as incomplete ", incomplete,
          " of 2000; without the relay ", wrongWithoutRelay, " of 2000 are wrong without an error");
  CHECK(complete > 1000);
  CHECK(wrongWithoutRelay > 1000);
}

// Guards against an interruption that ends the answer although servers support resuming.
TEST_CASE("every interrupted answer is completed if servers can resume")
{
  int finished = 0;
  int finishedWithoutResume = 0;
  const link_faults truncatingLink{ .mLossProbability = 0,
                                    .mDuplicateProbability = 0.1,
                                    .mMaxDisplacement = 4,
                                    .mTruncationProbability = 0.5,
                                    .mForeignProbability = 0 };
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const auto answer = MakeAnswer(random);
    const bool done = Relay(answer, truncatingLink, true, random).mEnd == next_step::Finish;
    CHECK(done);
    finished += done ? 1 : 0;
    finishedWithoutResume +=
      Relay(answer, truncatingLink, false, random).mEnd == next_step::Finish ? 1 : 0;
  }
  MESSAGE("finished with resume ", finished, " of 100, without ", finishedWithoutResume, " of 100");
  CHECK(finishedWithoutResume < 90);
}

// Guards against a second run of a call that is not repeatable.
TEST_CASE("a call that is not repeatable is not sent again once it may have run")
{
  state closed = MakeState(false);
  OnAttempt(closed, true, kStart);
  CHECK(OnBreak(closed, 1, break_reason::Closed, kStart).mNext == next_step::EndUnknown);

  state partly = MakeState(false);
  OnAttempt(partly, true, kStart);
  OnChunk(partly, { kRequest, 0, "a", 1 }, kStart);
  CHECK(OnBreak(partly, 1, break_reason::Closed, kStart).mNext == next_step::EndIncomplete);

  state refused = MakeState(false);
  OnAttempt(refused, true, kStart);
  CHECK(OnBreak(refused, 1, break_reason::Refused, kStart).mNext == next_step::Restart);
  CHECK(OnNoServer(refused).mNext == next_step::EndNotRun);
}

// Guards against joining the text of two generations in one answer.
TEST_CASE("the attempt fails if a server ignores Last-Event-ID")
{
  state relay = MakeState();
  OnAttempt(relay, true, kStart);
  OnChunk(relay, { kRequest, 0, "a", 1 }, kStart);
  OnChunk(relay, { kRequest, 1, "b", 1 }, kStart);
  CHECK(OnBreak(relay, 1, break_reason::Closed, kStart).mLastEventId == 1);
  CHECK_THROWS_AS(OnAttempt(relay, false, kStart), error);
  OnAttempt(relay, true, kStart);
  const actions after = OnChunk(relay, { kRequest, 0, "x", 2 }, kStart);
  CHECK(after.mReason == break_reason::ResumeIgnored);
  CHECK(after.mDeliver.empty());
  CHECK(after.mCancelAttempt == 2);
  OnNoServer(relay);
  CHECK(json::parse(IncompleteEvent(relay)).at("outcome") == "unknown");
}

// Guards against unbounded memory use after a missing event.
TEST_CASE("the attempt fails if too many bytes are buffered after a gap")
{
  state relay = MakeState();
  relay.mOptions.mMaxReorderBytes = 100;
  OnAttempt(relay, true, kStart);
  next_step next = next_step::Continue;
  std::uint64_t id = 1;
  while (next == next_step::Continue && id < 100) {
    next = OnChunk(relay, { kRequest, id++, "0123456789", 1 }, kStart).mNext;
  }
  CHECK(id == 12);
  CHECK(next == next_step::Restart);
  CHECK(relay.mReorderBytes == 0);
}

// Guards against a decoder whose result depends on the packet boundaries.
TEST_CASE("decoding does not depend on how the bytes are split")
{
  const std::string wire = ": comment\r\nid: 0\r\ndata: a\r\ndata: b\r\n\r\n" +
                           Encode({ 1, "error", "x\ny" }) +
                           "id: x\ndata:[DONE]\n\nid: 2\ndata: cut";
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    sse_decoder decoder;
    std::vector<sse_event> events;
    for (std::size_t at = 0; at < wire.size();) {
      const std::size_t size = 1 + random() % 9;
      for (auto& event : Decode(decoder, std::string_view(wire).substr(at, size))) {
        events.push_back(std::move(event));
      }
      at += size;
    }
    REQUIRE(events.size() == 3);
    CHECK(events[0].mData == "a\nb");
    CHECK(events[1].mId == 1);
    CHECK(events[1].mEvent == "error");
    CHECK(events[1].mData == "x\ny");
    CHECK_FALSE(events[2].mId.has_value());
    CHECK(events[2].mData == "[DONE]");
  }
  sse_decoder small{ .mMaxEventBytes = 8, .mPartialLine = {}, .mPartialEvent = {} };
  CHECK_THROWS_AS(Decode(small, "data: 0123456789"), error);
}

// Guards against unintended changes of the relay's decisions in the recorded event sequences.
TEST_CASE("the relay scenarios give the expected results")
{
  int files = 0;
  for (const auto& file :
       std::filesystem::directory_iterator(TAMARACKWEIR_SLICE_DIR "/scenarios")) {
    CAPTURE(file.path().string());
    const auto script = scenario::Load(file.path());
    state relay = MakeState(script.mSetup.value("repeatable", true));
    const scenario::verb_table verbs{
      { "attempt",
        [&](const json& aWith, time_point aNow) {
          return json{ { "attempt", OnAttempt(relay, aWith.value("resumes", true), aNow) } };
        } },
      { "chunk",
        [&](const json& aWith, time_point aNow) {
          return ToJson(OnChunk(relay,
                                { request_id(aWith.value("request", "r-1")), aWith.at("id"),
                                  aWith.at("data"), aWith.value("attempt", relay.mAttempt) },
                                aNow));
        } },
      { "break",
        [&](const json& aWith, time_point aNow) {
          return ToJson(OnBreak(relay, aWith.value("attempt", relay.mAttempt),
                                ParseReason(aWith.value("reason", "closed")), aNow));
        } },
      { "no_server", [&](const json&, time_point) { return ToJson(OnNoServer(relay)); } },
      { "caller_gone", [&](const json&, time_point) { return ToJson(OnCallerGone(relay)); } },
      { "tick", [&](const json&, time_point aNow) { return ToJson(OnTick(relay, aNow)); } },
    };
    const auto mismatches = scenario::Run(script, verbs);
    CHECK_MESSAGE(mismatches.empty(), scenario::Describe(mismatches));
    ++files;
  }
  CHECK(files >= 3);
}
