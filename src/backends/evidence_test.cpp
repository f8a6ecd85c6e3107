#include "backends/evidence.h"
#include "backends/evidence_message.h"

#include <cmath>
#include <doctest/doctest.h>
#include <limits>
#include <nlohmann/json.hpp>

using namespace tamarackweir;
using namespace tamarackweir::backends;

namespace {

constexpr time_point kStart = time_point(100s);
const server_id kServer("s");

fleet MakeFleet(std::int64_t aStartId = 1)
{
  fleet result;
  Announce(result, { .mId = kServer, .mService = service_id("llm"), .mStartId = aStartId }, kStart);
  return result;
}

backend_server& Only(const fleet& aFleet)
{
  return *aFleet.mServers.at(kServer);
}

/// What instances of which `aFailed` failed to connect and `aReached` succeeded have seen.
std::vector<observations> Seen(int aFailed, int aReached, time_point aFailedAt = kStart + 1s)
{
  std::vector<observations> result;
  for (int i = 0; i < aFailed + aReached; ++i) {
    const fleet fleet = MakeFleet();
    RecordConnect(Only(fleet), i >= aFailed, i >= aFailed ? kStart : aFailedAt);
    result.push_back(OwnObservations(fleet, aFailedAt));
  }
  return result;
}

observations PoolAll(const std::vector<observations>& aSeen, time_point aNow)
{
  std::vector<const observations*> witnesses;
  witnesses.reserve(aSeen.size());
  for (const observations& one : aSeen) {
    witnesses.push_back(&one);
  }
  return Pool(witnesses, aNow);
}

bool IsLostAfter(const std::vector<observations>& aSeen, time_point aNow = kStart + 1s)
{
  fleet fleet = MakeFleet();
  ApplyPooled(fleet, PoolAll(aSeen, aNow), aNow);
  return IsLost(Only(fleet), aNow);
}

} // namespace

// Guards against one misreporting instance, or a few with bad links, taking a healthy server away.
TEST_CASE("a server is lost if at least two instances, and a quarter of those that tried, failed")
{
  CHECK_FALSE(IsLostAfter(Seen(1, 0)));
  CHECK(IsLostAfter(Seen(2, 0)));
  CHECK(IsLostAfter(Seen(2, 6)));
  CHECK_FALSE(IsLostAfter(Seen(2, 7)));
  CHECK(IsLostAfter(Seen(23, 67)));
  CHECK_FALSE(IsLostAfter(Seen(22, 68)));
}

TEST_CASE("a report counts as one instance, whatever number it claims")
{
  std::vector<observations> seen = Seen(1, 0);
  seen.front().front().mFailed = 50;
  seen.front().front().mTried = 50;
  CHECK_FALSE(IsLostAfter(seen));
}

// Guards against failures before a flap that are counted together with one after it.
TEST_CASE("failures before the last proof of liveness of any instance do not count")
{
  std::vector<observations> seen = Seen(10, 0);
  const fleet reached = MakeFleet();
  RecordConnect(Only(reached), true, kStart + 1100ms);
  seen.push_back(OwnObservations(reached, kStart + 1200ms));
  CHECK_FALSE(IsLostAfter(seen, kStart + 1200ms));
  const fleet failed = MakeFleet();
  RecordConnect(Only(failed), false, kStart + 1200ms);
  seen.push_back(OwnObservations(failed, kStart + 1200ms));
  CHECK_FALSE(IsLostAfter(seen, kStart + 1200ms));
}

TEST_CASE("an instance's own fresh proof of liveness outweighs all others")
{
  fleet fleet = MakeFleet();
  Only(fleet).mLastByte = kStart + 900ms;
  ApplyPooled(fleet, PoolAll(Seen(9, 0), kStart + 1s), kStart + 1s);
  CHECK(Only(fleet).mPooled.mIsUnreachable);
  CHECK_FALSE(IsLost(Only(fleet), kStart + 1s));
  CHECK(IsLost(Only(fleet), kStart + 1500ms));
  RecordConnect(Only(fleet), true, kStart + 1500ms);
  CHECK_FALSE(IsLost(Only(fleet), kStart + 2500ms));
}

// Guards against condemning a server that restarted under the same id for its earlier start.
TEST_CASE("observations of another start of a server are ignored")
{
  const observations lost = PoolAll(Seen(9, 0), kStart + 1s);
  fleet fleet = MakeFleet(2);
  CHECK(ApplyPooled(fleet, lost, kStart + 1s).empty());
  CHECK_FALSE(IsSuspect(Only(fleet), kStart + 1s));
}

TEST_CASE("a server stays lost while any instance fails, until someone reaches it")
{
  fleet fleet = MakeFleet();
  CHECK(ApplyPooled(fleet, PoolAll(Seen(2, 0), kStart + 1s), kStart + 1s).size() == 1);
  CHECK(ApplyPooled(fleet, PoolAll(Seen(1, 0, kStart + 2s), kStart + 2s), kStart + 2s).empty());
  CHECK(IsLost(Only(fleet), kStart + 2s));
  RecordEnd(Only(fleet), attempt_end::Unreachable, 0s, kStart + 2s);

  // One instance that goes on to report failures does not undo the proof of liveness.
  std::vector<observations> seen = Seen(1, 0, kStart + 2500ms);
  const backends::fleet reached = MakeFleet();
  RecordConnect(Only(reached), true, kStart + 2200ms);
  seen.push_back(OwnObservations(reached, kStart + 2500ms));
  const auto changes = ApplyPooled(fleet, PoolAll(seen, kStart + 2500ms), kStart + 2500ms);
  CHECK(changes.size() == 1);
  CHECK_FALSE(IsSuspect(Only(fleet), kStart + 2500ms));
}

TEST_CASE("a view expires without news, and evidence older than its lifetime is not sent")
{
  fleet fleet = MakeFleet();
  ApplyPooled(fleet, PoolAll(Seen(2, 0), kStart + 1s), kStart + 1s);
  CHECK(IsLost(Only(fleet), kStart + 1s + kViewLifetime));
  CHECK_FALSE(IsLost(Only(fleet), kStart + 1s + kViewLifetime + 1ms));
  RecordConnect(Only(fleet), false, kStart);
  CHECK(OwnObservations(fleet, kStart + kEvidenceLifetime).size() == 1);
  CHECK(OwnObservations(fleet, kStart + kEvidenceLifetime + 1ms).empty());
}

TEST_CASE("an accepted connect ends the suspicion that a failed one caused, and no other")
{
  const fleet fleet = MakeFleet();
  RecordConnect(Only(fleet), false, kStart);
  RecordEnd(Only(fleet), attempt_end::Unreachable, 0s, kStart);
  RecordConnect(Only(fleet), true, kStart + 100ms);
  CHECK_FALSE(IsSuspect(Only(fleet), kStart + 100ms));
  RecordEnd(Only(fleet), attempt_end::WrongServer, 0s, kStart + 200ms);
  RecordConnect(Only(fleet), true, kStart + 300ms);
  CHECK(IsSuspect(Only(fleet), kStart + 300ms));
}

// Guards against the error of one instance in the measured slowdown.
TEST_CASE("the slowdown is the median of instances, and unknown from a single one")
{
  const auto measured = [](double aRatio, int aSamples) {
    const fleet fleet = MakeFleet();
    RecordConnect(Only(fleet), true, kStart);
    for (int i = 0; i < aSamples; ++i) {
      RecordSlowdown(Only(fleet), std::chrono::milliseconds(std::lround(100 * aRatio)), 100ms,
                     kStart);
    }
    return OwnObservations(fleet, kStart);
  };
  CHECK(PoolAll({ measured(3, 5) }, kStart).front().mSlowdown == 1);
  const auto pooled = PoolAll({ measured(3, 5), measured(2.9, 4), measured(50, 8) }, kStart);
  CHECK(pooled.front().mSlowdown == doctest::Approx(3));
  CHECK(PoolAll({ measured(3, 5), measured(3.1, 5), measured(99, 500) }, kStart).front().mSamples ==
        30);
}

TEST_CASE("a rejection as full reaches the other instances with its time")
{
  const fleet full = MakeFleet();
  RecordEnd(Only(full), attempt_end::Refused, 0s, kStart);
  fleet fleet = MakeFleet();
  ApplyPooled(fleet, PoolAll({ OwnObservations(full, kStart + 300ms) }, kStart + 300ms),
              kStart + 300ms);
  CHECK(Only(fleet).mPooled.mFullAt == kStart);
  CHECK_FALSE(IsSuspect(Only(fleet), kStart + 300ms));
}

TEST_CASE("a list is decoded as encoded, without invalid entries and those above the limit")
{
  const observations sent{ { .mServer = 0xffffffffU,
                             .mStart = 7,
                             .mFailed = 3,
                             .mTried = 4,
                             .mFailedAt = kStart - 2s,
                             .mFullAt = kStart,
                             .mSlowdown = 2.5,
                             .mSamples = 9 } };
  const nlohmann::json list = ToList(sent, kStart);
  CHECK(FromList(list, 1, kStart).mSeen == sent);
  CHECK(nlohmann::json::to_msgpack(list).size() <= kMaxObservationBytes);
  CHECK(FromList(list, 0, kStart).mSkipped == 1);
  for (const nlohmann::json& invalid : std::vector<nlohmann::json>{
         -2, std::nan(""), std::numeric_limits<double>::infinity(), 1e300, "x", nullptr }) {
    for (std::size_t field = 0; field < list.size(); ++field) {
      nlohmann::json changed = list;
      changed[field] = invalid;
      changed.insert(changed.end(), list.begin(), list.end());
      const decoded_observations decoded = FromList(changed, 8, kStart);
      CHECK(decoded.mSeen == sent);
      CHECK(decoded.mSkipped == 1);
    }
  }
  CHECK(FromList({ { "a", 1 } }, 8, kStart).mSeen.empty());
  CHECK(FromList(nlohmann::json::array({ 1, 2 }), 8, kStart).mSkipped == 1);
}

// Guards against probes by all instances at once, and a first in rank that has died.
TEST_CASE("the first in rank probes a lost server ever more rarely, and the second if it is silent")
{
  fleet fleet = MakeFleet();
  backend_server& server = Only(fleet);
  const time_point lost = kStart + 1s;
  ApplyPooled(fleet, PoolAll(Seen(2, 0), lost), lost);
  CHECK(IsProbeDue(server, 0, lost));
  CHECK_FALSE(IsProbeDue(server, 1, lost));
  for (const duration pause : { 200ms * 2, 200ms * 4, 1000ms, 1000ms }) {
    RecordProbe(server, false, lost);
    CHECK_FALSE(IsProbeDue(server, 0, lost + pause - 1ms));
    CHECK(IsProbeDue(server, 0, lost + pause));
  }
  CHECK_FALSE(IsProbeDue(server, 1, lost + kTakeOverAfter - 1ms));
  CHECK(IsProbeDue(server, 1, lost + kTakeOverAfter));
  CHECK_FALSE(IsProbeDue(server, 2, lost + kTakeOverAfter));
  CHECK_FALSE(IsProbeDue(server, 0, lost + kViewLifetime + 1ms));
}

// Guards against requests that are risked on a server to find out whether it is back.
TEST_CASE("a server that only this instance failed to reach is probed before the suspicion ends")
{
  const fleet fleet = MakeFleet();
  backend_server& server = Only(fleet);
  RecordConnect(server, false, kStart);
  RecordEnd(server, attempt_end::Unreachable, 0s, kStart);
  CHECK_FALSE(IsProbeDue(server, 0, server.mSuspectUntil - kProbeAhead - 1ms));
  const time_point due = server.mSuspectUntil - kProbeAhead;
  CHECK(IsProbeDue(server, 5, due));
  RecordConnect(server, false, due + 300ms);
  RecordEnd(server, attempt_end::Unreachable, 0s, due + 300ms);
  RecordProbe(server, false, due + 300ms);
  CHECK(IsSuspect(server, due + kProbeAhead));
  CHECK_FALSE(IsProbeDue(server, 5, due + 300ms));
}
