#include "gateway/explain.h"

#include "backends/evidence.h"
#include "base/digest.h"
#include "net/loop.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::gateway;

namespace {

constexpr time_point kNow = time_point(100s);
const service_id kService("llm");

/// A route with two models for a service with three servers; the request may use any of them.
struct explained_service
{
  explained_service()
  {
    mState.mSelf = { .mId = instance_id("i-1"), .mDataCentre = data_centre_id("a") };
    mState.mInstances = { "i-1" };
    const auto routes = std::make_shared<routing::route_table>();
    routes->mHasAccounts = true;
    routes->mAccountsByKey["secret-key"] = { .mId = account_id("depot") };
    routes->mServices[kService] = { .mId = kService, .mColdRate = 1 };
    routing::AddRoute(*routes, { .mName = "answers",
                                 .mHost = "h",
                                 .mPrefix = "/x/",
                                 .mKind = routing::call_kind::Stream,
                                 .mServices = { { .mService = kService } },
                                 .mModels = { model_id("small"), model_id("large") } });
    mState.mRoutes = routes;
    for (const char* const id : { "s-1", "s-2", "s-3" }) {
      Announce({ .mId = server_id(id), .mDataCentre = data_centre_id("a") });
    }
    mQuestion = { .mHeader = { .mHost = "h", .mKey = "secret-key", .mAnyModel = true },
                  .mMethod = "POST",
                  .mTarget = "/x/y" };
  }

  void Announce(backends::announcement aServer)
  {
    aServer.mService = kService;
    if (aServer.mVersion == version_id()) {
      aServer.mVersion = version_id("v1");
    }
    backends::Announce(mState.mFleet, aServer, kNow - 60s);
  }
  backends::backend_server& Server(const char* aId)
  {
    return *mState.mFleet.mServers.at(server_id(aId));
  }
  explanation Explain() { return gateway::Explain(mState, mQuestion, kNow); }
  server_explanation Explained(const char* aId)
  {
    const explanation result = Explain();
    const auto found = std::find_if(
      result.mServers.begin(), result.mServers.end(),
      [aId](const server_explanation& aServer) { return aServer.mServer == server_id(aId); });
    REQUIRE(found != result.mServers.end());
    if (!found->mRuledOutBy.empty() && result.mChosen) {
      CHECK(result.mChosen->mServer != server_id(aId));
    }
    return *found;
  }

  /// A shift to v2 at the end of its ramp, or at its start, as all or no requests use it.
  void StartShift(bool aIsAtEnd)
  {
    rollout::shift& shift = mState.mShifts[kService];
    shift.mOrder = {
      .mService = kService, .mNewVersion = version_id("v2"), .mDuration = 20s, .mOrderId = 5
    };
    shift.mStartedAt = aIsAtEnd ? kNow - 20s : kNow;
    if (aIsAtEnd) {
      shift.mProgress =
        rollout::shift_progress{ .mOrderId = 5, .mPhase = rollout::shift_phase::Succeeded };
    }
  }

  gateway_state mState;
  explain_question mQuestion;
};

} // namespace

// Guards against an explanation that names another place than the request would get.
TEST_CASE("an explanation names the server that the request gets next")
{
  explained_service service;
  const explanation result = service.Explain();
  CHECK(result.mStatus == 200);
  CHECK(result.mRoute == "answers");
  CHECK(result.mAccount == account_id("depot"));
  CHECK(result.mModel == model_id("small"));
  REQUIRE(result.mChosen);
  call next;
  next.mRoutes = service.mState.mRoutes;
  next.mRoute = &service.mState.mRoutes->mHosts.at("h").front();
  next.mHeader = service.mQuestion.mHeader;
  AssignService(next);
  placement::demand demand = DemandOf(service.mState, next);
  CHECK(ChooseServer(service.mState, next, demand, nullptr, kNow).mServer->mAnnounced.mId ==
        result.mChosen->mServer);
}

// Guards against a reason that is missing, or is not the one by which the choice goes.
TEST_CASE("each rule that rules a server out is named")
{
  explained_service service;
  SUBCASE("leaving, by its entry")
  {
    service.Server("s-1").mAnnounced.mIsLeaving = true;
    CHECK(service.Explained("s-1").mRuledOutBy == "leaving");
  }
  SUBCASE("leaving, by its answer")
  {
    service.Server("s-1").mSaysItLeaves = true;
    CHECK(service.Explained("s-1").mRuledOutBy == "leaving");
  }
  SUBCASE("evacuated")
  {
    service.Server("s-1").mAnnounced.mDataCentre = data_centre_id("b");
    service.mState.mEvacuated = { data_centre_id("b") };
    CHECK(service.Explained("s-1").mRuledOutBy == "evacuated");
  }
  SUBCASE("region")
  {
    auto routes = std::make_shared<routing::route_table>(*service.mState.mRoutes);
    routes->mAccountsByKey["secret-key"].mRegions = { routing::region_id("north") };
    service.mState.mRoutes = routes;
    service.mState.mSelf.mRegions[data_centre_id("a")] = routing::region_id("north");
    service.Server("s-1").mAnnounced.mDataCentre = data_centre_id("b");
    CHECK(service.Explained("s-1").mRuledOutBy == "region");
  }
  SUBCASE("closed")
  {
    service.Server("s-1").mClosedUntil = kNow + 1s;
    CHECK(service.Explained("s-1").mRuledOutBy == "closed");
  }
  SUBCASE("tried")
  {
    service.mQuestion.mTried = { server_id("s-1") };
    CHECK(service.Explained("s-1").mRuledOutBy == "tried");
  }
  SUBCASE("version")
  {
    service.Announce({ .mId = server_id("s-4"), .mVersion = version_id("v2") });
    service.StartShift(false);
    CHECK(service.Explained("s-4").mRuledOutBy == "version");
    CHECK(service.Explain().mSide == "old");
    service.StartShift(true);
    CHECK(service.Explained("s-1").mRuledOutBy == "version");
    CHECK(service.Explain().mSide == "new");
  }
  CHECK(service.Explained("s-2").mRuledOutBy != "leaving");
}

// Guards against a server that looks usable while others go before it.
TEST_CASE("each reason to use a server only without alternatives is named")
{
  explained_service service;
  backends::backend_server& server = service.Server("s-1");
  SUBCASE("suspect")
  {
    server.mSuspectUntil = kNow + 1s;
    CHECK(service.Explained("s-1").mLastResort == "suspect");
  }
  SUBCASE("lost")
  {
    server.mPooled = {
      .mIsUnreachable = true, .mFailedAt = kNow, .mLostAt = kNow, .mExpiresAt = kNow + 1s
    };
    CHECK(service.Explained("s-1").mLastResort == "lost");
  }
  SUBCASE("cold")
  {
    server.mColdUntil = kNow + 1s;
    CHECK(service.Explained("s-1").mLastResort == "cold");
  }
  SUBCASE("missing")
  {
    server.mMissingSince = kNow;
    CHECK(service.Explained("s-1").mLastResort == "missing");
  }
  CHECK(service.Explain().mChosen->mServer != server_id("s-1"));
}

// Guards against a refusal without its reason.
TEST_CASE("a request that would be refused is explained")
{
  explained_service service;
  SUBCASE("quarantined")
  {
    service.mQuestion.mHeader.mParts = { { .mId = 7, .mTokens = 5 }, { .mId = 8, .mTokens = 5 } };
    service.mState.mCrashes.mQuarantined[quarantine::cause_key(7)] = { .mSince = net::Now(),
                                                                       .mTerm = 60s };
    CHECK(service.Explain().mReason == "a part of the prompt crashes backend servers");
  }
  SUBCASE("closed, with the time to come back")
  {
    for (const char* const id : { "s-1", "s-2", "s-3" }) {
      service.Server(id).mClosedUntil = net::Now() + 1s;
    }
    const explanation result = Explain(service.mState, service.mQuestion, net::Now());
    CHECK(result.mReason == "all servers that may be used are closed to this instance");
    CHECK(result.mRetryAfter.has_value());
  }
  SUBCASE("stopping")
  {
    service.mState.mIsStopping = true;
    service.mState.mStopsAt = kNow + 1s;
    CHECK(service.Explain().mReason == "this instance stops");
  }
  SUBCASE("no confirmed configuration")
  {
    service.mState.mOptions.mBounds.mRefuseAfter = 1s;
    CHECK(service.Explain().mReason == "the configuration is not confirmed");
  }
  CHECK(service.Explain().mStatus == 503);
}

// Guards against an answer that hides a typing error, or shows a key.
TEST_CASE("an unknown route, key or model is an error that shows no key")
{
  explained_service service;
  const auto errorOf = [&service] { return ToJson(service.Explain()).value("error", ""); };
  service.mQuestion.mHeader.mAnyModel = false;
  service.mQuestion.mHeader.mModel = "huge";
  CHECK(errorOf() == "the route 'answers' has no model 'huge'");
  service.mQuestion.mHeader.mModel = "large";
  CHECK(errorOf().empty());
  CHECK(ToJson(service.Explain()).dump().find("secret-key") == std::string::npos);
  service.mQuestion.mHeader.mKey = "wrong-key";
  CHECK(errorOf().find("missing or unknown") != std::string::npos);
  CHECK(errorOf().find("wrong-key") == std::string::npos);
  service.mQuestion.mTarget = "/y";
  CHECK(errorOf() == "no route for the host 'h' and this path");
  service.mState.mRoutes = nullptr;
  CHECK(errorOf().starts_with("the instance has no configuration yet"));
}

// Guards against a question that uses up what requests need: a place at a cold server, random
// numbers, a session's version, an estimate.
TEST_CASE("an explanation leaves the state as it was")
{
  explained_service service;
  for (const char* const id : { "s-1", "s-2", "s-3" }) {
    service.Server(id).mColdUntil = kNow + 1s;
  }
  const std::mt19937_64 random = service.mState.mRandom;
  for (const bool hasShift : { false, true }) {
    if (hasShift) {
      service.StartShift(false);
    }
    service.mQuestion.mHeader.mSession = "session-1";
    CHECK(service.Explain().mChosen.has_value());
    CHECK(service.Explain().mChosen->mLastResort == "cold");
    CHECK(service.mState.mSessions.empty());
    CHECK(service.mState.mLatencies.empty());
    CHECK(service.mState.mBudgets.empty());
    CHECK(service.mState.mPrefixCaches.mPrefilledAt.empty());
    const bool isRandomKept = service.mState.mRandom == random; // Its text has 312 numbers.
    CHECK(isRandomKept);
    CHECK(service.Server("s-1").mColdRefilledAt == time_point{});
    CHECK(service.Server("s-1").mInFlight == 0);
  }
  const std::uint64_t session = StableHash(kService.Value(), StableHash("session-1"));
  service.mState.mSessions[session] = { .mIsNew = true, .mLastActive = kNow - 1s };
  CHECK(service.Explain().mSide.size() == 3);
  REQUIRE(service.mState.mSessions.contains(session));
  CHECK(service.mState.mSessions[session].mIsNew);
  CHECK(service.mState.mSessions[session].mLastActive == kNow - 1s);
}
