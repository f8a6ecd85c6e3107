#include "quarantine/crash_message.h"

#include "base/error.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace tamarackweir::quarantine {

namespace {

using nlohmann::json;

constexpr duration kRepeatFor =
  2s; ///< a crash is sent again until then, since datagrams may be lost
constexpr std::chrono::milliseconds kLongestClaim = std::chrono::minutes(1);
constexpr duration kWatchFor = 3s; ///< a watched part expires unless it is asked for again

/// The part of a list or map that goes into one datagram.
template<class Container>
Container PartOf(const Container& aAll, std::size_t aPart)
{
  const std::size_t begin = std::min(aAll.size(), aPart * kMaxItems);
  const std::size_t end = std::min(aAll.size(), begin + kMaxItems);
  return Container(std::next(aAll.begin(), static_cast<std::ptrdiff_t>(begin)),
                   std::next(aAll.begin(), static_cast<std::ptrdiff_t>(end)));
}

/// Adds the crashes under a request as records, whoever saw them.
void AddCrashes(crash_message& aMessage, const crash_board& aBoard, cause_key aRequest)
{
  constexpr std::uint64_t kSpread = 0x9e3779b97f4a7c15; // makes the ids of two servers differ
  const auto found = aBoard.mRequests.find(aRequest);
  if (found == aBoard.mRequests.end()) {
    return;
  }
  for (const auto& [server, crash] : found->second.mByServer) {
    aMessage.mCrashes.push_back({ .mId = aRequest.Value() ^ (server * kSpread),
                                  .mServer = server,
                                  .mStage = crash.mWeight >= aBoard.mOptions.mJustBegunWeight
                                              ? run_stage::JustBegun
                                              : run_stage::Streaming,
                                  .mRequest = aRequest,
                                  .mAt = crash.mAt,
                                  .mSent = crash.mSent });
  }
}

std::int64_t AgeMs(time_point aAt, time_point aNow)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aAt).count();
}

/// Reads an age and returns the time by this instance's clock.
time_point TimeOf(const json& aAge, time_point aNow)
{
  return aNow - std::chrono::milliseconds(std::max<std::int64_t>(0, aAge.get<std::int64_t>()));
}

cause_key KeyOf(const json& aValue)
{
  return cause_key(aValue.get<std::uint64_t>());
}

run_stage StageOf(int aValue)
{
  switch (aValue) {
    case 0:
      return run_stage::Waiting;
    case 1:
      return run_stage::JustBegun;
    case 2:
      return run_stage::Streaming;
    default:
      throw error(error_kind::InvalidInput, "the stage of a crash is not known",
                  "check that all instances run the same release");
  }
}

} // namespace

std::optional<crash_message> MakeMessage(const crash_board& aBoard, bool aIsReminder,
                                         time_point aNow, const trial_claims& aClaims)
{
  crash_message message{ .mClaims = aClaims };
  const auto addAnswer = [&](cause_key aKey, time_point aSince) {
    if (const time_point answered = LastAnswer(aBoard, aKey);
        answered != time_point::min() && answered >= aSince) {
      message.mAnswered.emplace(aKey, answered);
    }
  };
  for (const auto& [id, record] : aBoard.mRecords) {
    if (record.mIsOwn && aNow - record.mAt < kRepeatFor) {
      message.mCrashes.push_back(record);
    }
  }
  for (const auto& [part, since] : aBoard.mSuspected) {
    addAnswer(part, {});
    message.mWatched.push_back(part);
    if (aIsReminder) {
      AddCrashes(message, aBoard, part);
    }
  }
  for (const auto& [part, until] : aBoard.mWatched) {
    addAnswer(part, {});
  }
  for (const auto& [part, entry] : aBoard.mQuarantined) {
    addAnswer(part, entry.mSince);
    if (aIsReminder || aNow - entry.mSince < kRepeatFor) {
      message.mQuarantined[part] = entry;
    }
  }
  // Sent only by deciding instances: these receive the answers that end a trial.
  for (const auto& [request, since] : aBoard.mSuspected) {
    if (EvidenceAgainst(aBoard, request).mWeight >= aBoard.mOptions.mTrialWeight) {
      message.mTrials.push_back(request);
    }
  }
  if (message.mTrials.empty() && message.mClaims.empty() && message.mCrashes.empty() &&
      message.mWatched.empty() && message.mAnswered.empty() && message.mQuarantined.empty()) {
    return std::nullopt;
  }
  return message;
}

merge_result ApplyMessage(crash_board& aBoard, const crash_message& aMessage, time_point aNow)
{
  merge_result result;
  for (const crash_record& crash : aMessage.mCrashes) {
    if (const crash_effect effect = RecordCrash(aBoard, crash); effect != crash_effect::Known) {
      result.mEvidence.emplace_back(crash.mRequest, effect);
    }
  }
  for (const cause_key part : aMessage.mWatched) {
    aBoard.mWatched[part] = aNow + kWatchFor;
  }
  for (const cause_key request : aMessage.mTrials) {
    aBoard.mTrials[request] = aNow;
  }
  for (const auto& [part, answered] : aMessage.mAnswered) {
    RecordAnswer(aBoard, { part }, answered);
  }
  for (const auto& [part, entry] : aMessage.mQuarantined) {
    const auto known = aBoard.mQuarantined.find(part);
    if (known != aBoard.mQuarantined.end() && known->second.mTerm >= entry.mTerm) {
      continue;
    }
    Quarantine(aBoard, part, entry);
    if (IsQuarantined(aBoard, { part }, aNow)) {
      result.mQuarantined.push_back(part);
    }
  }
  return result;
}

std::string Encode(const crash_message& aMessage, time_point aNow)
{
  json crashes = json::array();
  for (const crash_record& crash : aMessage.mCrashes) {
    json parts = json::array();
    for (const cause_key part : crash.mParts) {
      parts.push_back(part.Value());
    }
    crashes.push_back({ crash.mId, crash.mServer, static_cast<int>(crash.mStage),
                        AgeMs(crash.mAt, aNow), std::move(parts), crash.mRequest.Value(),
                        crash.mSent == time_point{} ? -1 : AgeMs(crash.mSent, aNow) });
  }
  json watched = json::array();
  for (const cause_key part : aMessage.mWatched) {
    watched.push_back(part.Value());
  }
  json answered = json::array();
  for (const auto& [part, at] : aMessage.mAnswered) {
    answered.push_back({ part.Value(), AgeMs(at, aNow) });
  }
  json quarantined = json::array();
  for (const auto& [part, entry] : aMessage.mQuarantined) {
    const auto term = std::chrono::duration_cast<std::chrono::milliseconds>(entry.mTerm).count();
    quarantined.push_back({ part.Value(), AgeMs(entry.mSince, aNow), term, entry.mIsRequest });
  }
  json trials = json::array();
  for (const cause_key request : aMessage.mTrials) {
    trials.push_back(request.Value());
  }
  json claims = json::array();
  for (const auto& [request, claim] : aMessage.mClaims) {
    claims.push_back({ request.Value(), claim.mOwner, AgeMs(claim.mSince, aNow),
                       AgeMs(claim.mSince, claim.mUntil) });
  }
  const auto bytes = json::to_msgpack(json{ { "crashes", std::move(crashes) },
                                            { "watched", std::move(watched) },
                                            { "answered", std::move(answered) },
                                            { "quarantined", std::move(quarantined) },
                                            { "trials", std::move(trials) },
                                            { "claims", std::move(claims) } });
  return { bytes.begin(), bytes.end() };
}

std::vector<std::string> EncodeInParts(const crash_message& aMessage, time_point aNow)
{
  const std::size_t most =
    std::max({ aMessage.mCrashes.size(), aMessage.mWatched.size(), aMessage.mAnswered.size(),
               aMessage.mQuarantined.size(), aMessage.mTrials.size(), aMessage.mClaims.size() });
  const std::size_t parts = std::min(kMaxParts, (most + kMaxItems - 1) / kMaxItems);
  std::vector<std::string> encoded;
  for (std::size_t i = 0; i < parts; ++i) {
    encoded.push_back(Encode({ .mCrashes = PartOf(aMessage.mCrashes, i),
                               .mWatched = PartOf(aMessage.mWatched, i),
                               .mAnswered = PartOf(aMessage.mAnswered, i),
                               .mQuarantined = PartOf(aMessage.mQuarantined, i),
                               .mTrials = PartOf(aMessage.mTrials, i),
                               .mClaims = PartOf(aMessage.mClaims, i) },
                             aNow));
  }
  return encoded;
}

bool IsCrashMessage(std::string_view aBytes)
{
  constexpr unsigned kSmallMap = 0x80; // MessagePack: a map with up to 15 members
  constexpr unsigned kKindBits = 0xf0;
  return !aBytes.empty() && (static_cast<unsigned char>(aBytes.front()) & kKindBits) == kSmallMap;
}

crash_message DecodeCrashes(std::string_view aBytes, time_point aNow)
{
  try {
    const json message = json::from_msgpack(aBytes.begin(), aBytes.end());
    crash_message result;
    for (const json& entry : message.at("crashes")) {
      crash_record crash{ .mId = entry.at(0).get<std::uint64_t>(),
                          .mServer = entry.at(1).get<std::uint64_t>(),
                          .mStage = StageOf(entry.at(2).get<int>()),
                          .mAt = TimeOf(entry.at(3), aNow) };
      for (const json& part : entry.at(4)) {
        crash.mParts.push_back(KeyOf(part));
      }
      // Earlier releases send neither this nor the last member of a quarantine.
      if (constexpr std::size_t kRequest = 5; entry.size() > kRequest) {
        crash.mRequest = KeyOf(entry.at(kRequest));
      }
      if (constexpr std::size_t kSent = 6;
          entry.size() > kSent && entry.at(kSent).get<std::int64_t>() >= 0) {
        crash.mSent = TimeOf(entry.at(kSent), aNow);
      }
      result.mCrashes.push_back(std::move(crash));
    }
    for (const json& part : message.at("watched")) {
      result.mWatched.push_back(KeyOf(part));
    }
    for (const json& entry : message.at("answered")) {
      result.mAnswered[KeyOf(entry.at(0))] = TimeOf(entry.at(1), aNow);
    }
    for (const json& entry : message.at("quarantined")) {
      quarantine_entry& quarantined = result.mQuarantined[KeyOf(entry.at(0))];
      quarantined.mSince = TimeOf(entry.at(1), aNow);
      quarantined.mTerm = std::chrono::milliseconds(entry.at(2).get<std::int64_t>());
      if (constexpr std::size_t kIsRequest = 3; entry.size() > kIsRequest) {
        quarantined.mIsRequest = entry.at(kIsRequest).get<bool>();
      }
    }
    // Earlier releases know no trials.
    for (const json& request : message.value("trials", json::array())) {
      result.mTrials.push_back(KeyOf(request));
    }
    for (const json& entry : message.value("claims", json::array())) {
      const time_point since = TimeOf(entry.at(2), aNow);
      const auto term = std::chrono::milliseconds(
        std::clamp<std::int64_t>(entry.at(3).get<std::int64_t>(), 0, kLongestClaim.count()));
      result.mClaims[KeyOf(entry.at(0))] = { .mOwner = entry.at(1).get<std::uint64_t>(),
                                             .mSince = since,
                                             .mUntil = since + term };
    }
    return result;
  } catch (const json::exception& failure) {
    throw error(error_kind::InvalidInput,
                std::string("the crash message of a peer can't be decoded: ") + failure.what(),
                "check that all instances run the same release");
  }
}

} // namespace tamarackweir::quarantine
