#include "gateway/server_choice.h"

#include <boost/asio/ip/address.hpp>
#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::gateway;

namespace {

constexpr time_point kStart = time_point(100s);
constexpr duration kLength = 20s;

/// A service in a shift from v1 to v2, with one server of each.
struct shifting_service
{
  shifting_service()
  {
    for (const char* const version : { "v1", "v2" }) {
      backends::Announce(mState.mFleet,
                         { .mId = server_id(std::string("server-") + version),
                           .mService = service_id("llm"),
                           .mVersion = version_id(version) },
                         kStart);
    }
    mShift.mOrder = { .mService = service_id("llm"),
                      .mNewVersion = version_id("v2"),
                      .mDuration = kLength,
                      .mOrderId = 5 };
    mShift.mProgress =
      rollout::shift_progress{ .mOrderId = 5, .mPhase = rollout::shift_phase::Passed };
    mShift.mStartedAt = kStart;
    const auto plan = rollout::ScheduleOf(mShift, mState.mOptions.mShift);
    mShift.mPassedAt = At(plan.mRampStart);
    mCall.mRoute = &mRoute;
  }

  static time_point At(double aElapsed)
  {
    return kStart + std::chrono::duration_cast<duration>(kLength * aElapsed);
  }

  backends::server_pointer ServerChosenAt(time_point aNow)
  {
    placement::demand demand{ .mService = service_id("llm"),
                              .mTriedServers = &mCall.mTriedServers };
    demand.mAcquireColdSlot = [](auto&) { return true; };
    return ChooseServer(mState, mCall, demand, &mShift, aNow).mServer;
  }

  std::string VersionChosenAt(time_point aNow)
  {
    const auto server = ServerChosenAt(aNow);
    return server == nullptr ? "" : server->mAnnounced.mVersion.Value();
  }

  gateway_state mState;
  rollout::shift mShift;
  routing::route mRoute;
  call mCall;
};

} // namespace

// Guards against a stream that is lost when the old version's servers stop: on kitamura-weir-large
// scale-1 its call kept the old side, tried ten servers that were gone and was broken off.
TEST_CASE("a call on the old version goes on with the new one once that one has all requests")
{
  shifting_service service;
  service.mCall.mSide = rollout::version_side::Old;
  const auto plan = rollout::ScheduleOf(service.mShift, service.mState.mOptions.mShift);
  CHECK(service.VersionChosenAt(service.At(plan.mRampStart - 0.01)) == "v1");
  CHECK(service.VersionChosenAt(service.At(plan.mRampEnd + 0.001)) == "v2");
}

TEST_CASE("a call on a new version that is halted goes on with the old one")
{
  shifting_service service;
  service.mCall.mSide = rollout::version_side::New;
  const auto plan = rollout::ScheduleOf(service.mShift, service.mState.mOptions.mShift);
  CHECK(service.VersionChosenAt(service.At(plan.mRampEnd + 0.001)) == "v2");
  service.mShift.mIsHalted = true;
  CHECK(service.VersionChosenAt(service.At(plan.mRampEnd + 0.001)) == "v1");
}

// Guards against a canary that is spread over all new servers and loads none of them, and against a
// retry that leaves the new version because its only server in use was tried.
TEST_CASE("calls of the canary go to one server, their retries to the next one")
{
  shifting_service service;
  for (int i = 0; i < 8; ++i) {
    backends::Announce(service.mState.mFleet,
                       { .mId = server_id("new-" + std::to_string(i)),
                         .mService = service_id("llm"),
                         .mVersion = version_id("v2") },
                       kStart);
  }
  service.mCall.mSide = rollout::version_side::New;
  const auto first = service.ServerChosenAt(kStart + 3s);
  for (int i = 0; i < 50; ++i) {
    CHECK(service.ServerChosenAt(kStart + 3s) == first);
  }
  service.mCall.mTriedServers.push_back(first->mAnnounced.mId);
  const auto second = service.ServerChosenAt(kStart + 3s);
  CHECK(second != first);
  CHECK(second->mAnnounced.mVersion == version_id("v2"));
  service.mCall.mTriedServers.clear();
  first->mColdUntil = kStart + 10s;
  CHECK(service.ServerChosenAt(kStart + 3s) == second);
}
