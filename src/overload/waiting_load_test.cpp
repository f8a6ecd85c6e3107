#include "gateway/waiting_room.h"
#include "placement/load_board.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <numeric>

using namespace tamarackweir;
using namespace tamarackweir::gateway;

namespace {

constexpr time_point kStart = time_point(100s);
constexpr int kServers = 4;
constexpr int kPlaces = 6;
constexpr int kServerQueue = 4; ///< requests that wait at a server; more are rejected
constexpr double kCallMs = 30;
constexpr double kLongestCallMs = 220;
constexpr duration kWay = 1ms; ///< between an instance and a server
constexpr duration kTarget = 150ms;
constexpr duration kCallerDeadline = 1500ms;
constexpr duration kRouteTimeout = 800ms;
constexpr duration kReportInterval = 400ms;
constexpr int kMostRepeats = 2; ///< of a caller

/// Plain calls of 10 s at 90 instances, to servers that run a few at once.
struct load_case
{
  const char* mName = "";
  std::size_t mInstances = 90;
  double mLoad = 1; ///< arrivals against what all servers can answer
  bool mWaits = true;
  bool mLosesServer = false;   ///< in the middle
  bool mHasSlowServer = false; ///< three times slower
  double mCutOff = 0;          ///< share of the instances that exchange no reports
  duration mEnd = 10s;
  std::uint64_t mSeed = 1;
};

struct load_result
{
  double mCalls = 0;
  double mTimely = 0;     ///< share of the calls answered within 150 ms
  double mAnswered = 0;   ///< share of the calls answered at all
  double mRejections = 0; ///< by servers, per call
  double mRefusals = 0;   ///< by instances, per call
  double mEarly = 1;      ///< share of the refusals within 250 ms of their arrival
  double mSwing = 0;      ///< largest deviation of the work of 400 ms from its mean, against it
};

struct sim_server
{
  int mBusy = 0;
  std::vector<std::function<void()>> mQueue;
  bool mIsLost = false;
  double mSlowdown = 1;
};

struct sim_instance
{
  backends::fleet mFleet;
  waiting_room mRoom;
  overload::retry_budget mBudget;
  latency_estimate mLatency{ .mMs = kCallMs, .mSamples = 20 };
  std::map<overload::waiting_id, std::function<void(bool)>> mWaiting;
  bool mIsLookPending = false;
};

struct sim_call
{
  std::size_t mInstance = 0;
  time_point mFirst{};
  time_point mArrived{}; ///< of the caller's present repeat
  time_point mSent{};    ///< of the last attempt
  attempt_history mHistory;
  std::vector<server_id> mTried;
  int mRepeats = 0;
};

using sim_pointer = std::shared_ptr<sim_call>;

duration Ms(double aMs)
{
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(aMs));
}

class simulation
{
public:
  explicit simulation(const load_case& aCase)
    : mCase(aCase)
    , mRandom(aCase.mSeed)
    , mInstances(aCase.mInstances)
    , mWork(static_cast<std::size_t>(aCase.mEnd / kReportInterval))
  {
    for (sim_instance& instance : mInstances) {
      for (int i = 0; i < kServers; ++i) {
        backends::Announce(instance.mFleet,
                           { .mId = IdOf(i),
                             .mService = service_id("app"),
                             .mDataCentre = data_centre_id("a"),
                             .mVersion = version_id("v1"),
                             .mPlaces = backends::place_count(kPlaces) },
                           kStart);
      }
      instance.mBudget.mRatio = 0.9;
      instance.mBudget.mFixedAllowance = 180.0 / static_cast<double>(mInstances.size());
      instance.mBudget.mAllowsFirst = false;
    }
    mServers[kServers - 1].mSlowdown = aCase.mHasSlowServer ? 3 : 1;
  }

  load_result Run()
  {
    At(kStart, [this] { Arrive(); });
    At(kStart, [this] { Report(); });
    if (mCase.mLosesServer) {
      At(kStart + mCase.mEnd / 2, [this] { LoseServer(); });
    }
    while (!mEvents.empty()) {
      const auto first = mEvents.begin();
      mNow = first->first;
      const auto action = std::move(first->second);
      mEvents.erase(first);
      action();
    }
    mResult.mTimely /= mResult.mCalls;
    mResult.mAnswered /= mResult.mCalls;
    mResult.mRejections /= mResult.mCalls;
    mResult.mEarly = mResult.mRefusals > 0 ? mEarly / mResult.mRefusals : 1;
    mResult.mRefusals /= mResult.mCalls;
    // Without the first second, in which the load is not known yet.
    const std::vector<double> work(mWork.begin() + 3, mWork.end());
    const double mean =
      std::accumulate(work.begin(), work.end(), 0.0) / static_cast<double>(work.size());
    for (const double one : work) {
      mResult.mSwing = std::max(mResult.mSwing, std::abs(one - mean) / mean);
    }
    return mResult;
  }

private:
  static server_id IdOf(int aServer) { return server_id("s-" + std::to_string(aServer)); }

  double Draw() { return std::uniform_real_distribution<double>()(mRandom); }

  bool IsOver() const { return mNow >= kStart + mCase.mEnd; }

  void At(time_point aTime, std::function<void()> aAction)
  {
    mEvents.emplace(aTime, std::move(aAction));
  }

  void Arrive()
  {
    if (IsOver()) {
      return;
    }
    std::exponential_distribution<double> gapMs(mCase.mLoad * kServers * kPlaces / kCallMs);
    At(mNow + Ms(gapMs(mRandom)), [this] { Arrive(); });
    const auto call = std::make_shared<sim_call>(sim_call{ .mFirst = mNow });
    call->mHistory.mIsIdempotent = mRandom() % 5 == 0;
    call->mHistory.mMaxRuns = call->mHistory.mIsIdempotent ? 3 : 1;
    ++mResult.mCalls;
    Start(call);
  }

  void Start(const sim_pointer& aCall)
  {
    aCall->mInstance = mRandom() % mInstances.size();
    aCall->mArrived = mNow;
    aCall->mTried.clear();
    aCall->mHistory.mRefusals = 0;
    aCall->mHistory.mRuns = 0;
    aCall->mHistory.mNotSent = 0;
    aCall->mHistory.mDeadline = std::min(mNow + kRouteTimeout, aCall->mFirst + kCallerDeadline);
    overload::OnRequest(InstanceOf(aCall).mBudget, mNow);
    Next(aCall);
  }

  sim_instance& InstanceOf(const sim_pointer& aCall) { return mInstances[aCall->mInstance]; }

  placement::demand DemandAt(const sim_instance& aInstance) const
  {
    placement::demand demand;
    demand.mService = service_id("app");
    demand.mTurnMs = aInstance.mLatency.mMs;
    demand.mDataCentre = data_centre_id("a");
    demand.mIsAllowed = [](const auto&) { return true; };
    demand.mAcquireColdSlot = [](auto&) { return false; };
    return demand;
  }

  overload::place_view ViewOf(const sim_instance& aInstance) const
  {
    return PlacesOf(aInstance.mFleet, DemandAt(aInstance), mNow);
  }

  overload::pace_basis BasisOf(const sim_instance& aInstance) const
  {
    return { .mAnswerTime = Ms(aInstance.mLatency.mMs), .mInstances = mInstances.size() };
  }

  void Next(const sim_pointer& aCall)
  {
    if (!mCase.mWaits) {
      Send(aCall);
      return;
    }
    sim_instance& instance = InstanceOf(aCall);
    const overload::waiting_id id = ++instance.mRoom.mLastId;
    instance.mWaiting[id] = [this, aCall](bool aMayGo) { aMayGo ? Send(aCall) : Refuse(aCall); };
    const call_times times{ .mArrived = aCall->mArrived,
                            .mTarget = kTarget,
                            .mDeadline = aCall->mHistory.mDeadline,
                            .mAnswerTime = Ms(instance.mLatency.mMs) };
    const overload::waiting_request request{
      .mId = id,
      .mDeadline = DeadlineInOrder(instance.mRoom, 0, aCall->mArrived,
                                   aCall->mFirst + kCallerDeadline - aCall->mArrived, mNow),
      .mLatest = std::max(LatestSend(times), mNow)
    };
    Apply(instance, Enter(instance.mRoom, request, ViewOf(instance), BasisOf(instance), mNow));
  }

  void Apply(sim_instance& aInstance, const ended_waits& aEnded)
  {
    const auto end = [&aInstance](overload::waiting_id aId, bool aMayGo) {
      const auto found = aInstance.mWaiting.find(aId);
      const auto action = std::move(found->second);
      aInstance.mWaiting.erase(found);
      action(aMayGo);
    };
    for (const auto id : aEnded.mLetGo) {
      end(id, true);
    }
    for (const auto& refused : aEnded.mRefused) {
      end(refused.mId, false);
    }
    if (!aInstance.mWaiting.empty() && !aInstance.mIsLookPending) {
      const time_point next =
        std::max(mNow + 1ms, overload::NextSendAt(aInstance.mRoom.mPace, mNow));
      aInstance.mIsLookPending = true;
      At(std::min(next, mNow + 20ms), [this, &aInstance] {
        aInstance.mIsLookPending = false;
        Apply(aInstance, Advance(aInstance.mRoom, ViewOf(aInstance), BasisOf(aInstance), mNow));
      });
    }
  }

  void Send(const sim_pointer& aCall)
  {
    sim_instance& instance = InstanceOf(aCall);
    placement::demand demand = DemandAt(instance);
    demand.mTriedServers = &aCall->mTried;
    const auto server =
      placement::Choose(instance.mFleet, demand, mCaches, {}, mRandom, mNow).mServer;
    if (server == nullptr) {
      Refuse(aCall);
      return;
    }
    aCall->mTried.push_back(server->mAnnounced.mId);
    ++server->mInFlight;
    aCall->mSent = mNow;
    At(mNow + kWay, [this, aCall, server] { Reach(aCall, server); });
  }

  sim_server& ServerOf(const backends::server_pointer& aServer)
  {
    return mServers[static_cast<std::size_t>(aServer->mAnnounced.mId.Value().back() - '0')];
  }

  void Reach(const sim_pointer& aCall, const backends::server_pointer& aServer)
  {
    sim_server& server = ServerOf(aServer);
    if (server.mIsLost) {
      At(mNow + kWay, [this, aCall, aServer] { End(aCall, aServer, attempt_result::NotSent); });
    } else if (server.mBusy < kPlaces) {
      Begin(aCall, aServer);
    } else if (server.mQueue.size() < kServerQueue) {
      server.mQueue.push_back([this, aCall, aServer] { Begin(aCall, aServer); });
    } else {
      ++mResult.mRejections;
      At(mNow + kWay, [this, aCall, aServer] { End(aCall, aServer, attempt_result::NotRun); });
    }
  }

  void Begin(const sim_pointer& aCall, const backends::server_pointer& aServer)
  {
    sim_server& server = ServerOf(aServer);
    ++server.mBusy;
    std::lognormal_distribution<double> time(std::log(kCallMs) - 0.18, 0.6);
    const double ms = std::min(kLongestCallMs, time(mRandom)) * server.mSlowdown;
    At(mNow + Ms(ms), [this, aCall, aServer, ms] {
      sim_server& ending = ServerOf(aServer);
      --ending.mBusy;
      const auto window = static_cast<std::size_t>((mNow - kStart) / kReportInterval);
      if (window < mWork.size()) {
        mWork[window] += ms / ending.mSlowdown;
      }
      if (!ending.mQueue.empty()) {
        const auto next = std::move(ending.mQueue.front());
        ending.mQueue.erase(ending.mQueue.begin());
        next();
      }
      At(mNow + kWay, [this, aCall, aServer, isLost = ending.mIsLost] {
        End(aCall, aServer, isLost ? attempt_result::Broken : attempt_result::Success);
      });
    });
  }

  void End(const sim_pointer& aCall, const backends::server_pointer& aServer,
           attempt_result aResult)
  {
    sim_instance& instance = InstanceOf(aCall);
    attempt_history& history = aCall->mHistory;
    bool isHeld = false;
    --aServer->mInFlight;
    if (aResult == attempt_result::Success) {
      backends::RecordEnd(*aServer, backends::attempt_end::Succeeded, 0s, mNow);
      overload::OnAnswered(instance.mRoom.mPace, ViewOf(instance), BasisOf(instance));
      RecordLatency(instance.mLatency, mNow - aCall->mSent);
      const bool isAnswered = mNow <= history.mDeadline;
      mResult.mAnswered += isAnswered ? 1 : 0;
      mResult.mTimely += isAnswered && mNow - aCall->mFirst <= kTarget ? 1 : 0;
      return;
    }
    if (aResult == attempt_result::NotRun) {
      ++history.mRefusals;
      backends::RecordEnd(*aServer, backends::attempt_end::Refused, 0s, mNow);
      overload::OnRejected(instance.mRoom.mPace, ViewOf(instance), BasisOf(instance), mNow);
      isHeld = mCase.mWaits && overload::IsHolding(instance.mRoom.mPace, ViewOf(instance), mNow);
      if (isHeld) {
        aCall->mTried.pop_back();
      }
    } else if (aResult == attempt_result::NotSent) {
      ++history.mNotSent;
      backends::RecordEnd(*aServer, backends::attempt_end::Unreachable, 0s, mNow);
    } else {
      ++history.mRuns;
    }
    history.mExpected = Ms(instance.mLatency.mMs);
    if (MayRetry(aResult, history, instance.mBudget, mNow)) {
      if (aResult != attempt_result::NotSent) {
        overload::SettleRetry(instance.mBudget, mNow);
      }
      const duration backOff =
        isHeld ? BackOff(history.mRefusals, history.mExpected, Draw()) : duration::zero();
      At(mNow + backOff, [this, aCall] { Next(aCall); });
    } else {
      Refuse(aCall);
    }
  }

  void Refuse(const sim_pointer& aCall)
  {
    if (aCall->mHistory.mRuns > 0) {
      return;
    }
    sim_instance& instance = InstanceOf(aCall);
    ++mResult.mRefusals;
    mEarly += mNow - aCall->mArrived <= 250ms ? 1 : 0;
    const duration opensIn =
      mCase.mWaits ? PromiseRoom(instance.mRoom, ViewOf(instance), mNow) : duration::zero();
    const retry_outlook outlook{ .mTimeLeft = aCall->mFirst + kCallerDeadline - mNow,
                                 .mAnswerTime = Ms(instance.mLatency.mMs),
                                 .mOpensIn = opensIn };
    const auto wait = RetryAfter(outlook, Draw());
    if (wait && ++aCall->mRepeats <= kMostRepeats) {
      At(mNow + *wait, [this, aCall] { Start(aCall); });
    }
  }

  void LoseServer()
  {
    mServers[0].mIsLost = true;
    mServers[0].mQueue.clear();
    At(mNow + 2s, [this] {
      for (sim_instance& instance : mInstances) {
        backends::Withdraw(instance.mFleet, IdOf(0), false, mNow);
      }
    });
  }

  /// The totals of now reach each instance within the next interval, so they are up to two
  /// intervals old when they are replaced.
  void Report()
  {
    if (IsOver()) {
      return;
    }
    At(mNow + kReportInterval, [this] { Report(); });
    const auto cutOff =
      static_cast<std::size_t>(mCase.mCutOff * static_cast<double>(mInstances.size()));
    placement::load_report totals;
    std::map<server_id, time_point> fullAt;
    for (std::size_t i = cutOff; i < mInstances.size(); ++i) {
      placement::Add(totals, placement::OwnLoads(mInstances[i].mFleet));
      for (const auto& [id, server] : mInstances[i].mFleet.mServers) {
        fullAt[id] = std::max(fullAt[id], server->mSeen.mFullAt);
      }
    }
    for (std::size_t i = cutOff; i < mInstances.size(); ++i) {
      placement::load_report others = totals;
      for (const auto& [server, load] : placement::OwnLoads(mInstances[i].mFleet)) {
        others[server].mRequests -= load.mRequests;
      }
      const auto delay = duration(mRandom() % kReportInterval.count());
      At(mNow + delay, [this, i, others, fullAt] {
        placement::ApplyTotals(mInstances[i].mFleet, others, mNow);
        for (const auto& [id, server] : mInstances[i].mFleet.mServers) {
          server->mPooled.mFullAt = fullAt.at(id);
          server->mPooled.mExpiresAt = mNow + 1s;
        }
      });
    }
  }

  load_case mCase;
  std::mt19937_64 mRandom;
  std::vector<sim_instance> mInstances;
  std::array<sim_server, kServers> mServers;
  placement::prefix_caches mCaches;
  std::multimap<time_point, std::function<void()>> mEvents;
  time_point mNow = kStart;
  std::vector<double> mWork;
  load_result mResult;
  double mEarly = 0;
};

/// Mean over three seeds; the swing is the largest one.
load_result Simulate(load_case aCase, bool aWaits)
{
  constexpr int kSeeds = 3;
  aCase.mWaits = aWaits;
  load_result mean{ .mEarly = 0 };
  for (aCase.mSeed = 1; aCase.mSeed <= kSeeds; ++aCase.mSeed) {
    const load_result one = simulation(aCase).Run();
    mean.mTimely += one.mTimely / kSeeds;
    mean.mAnswered += one.mAnswered / kSeeds;
    mean.mRejections += one.mRejections / kSeeds;
    mean.mRefusals += one.mRefusals / kSeeds;
    mean.mEarly += one.mEarly / kSeeds;
    mean.mSwing = std::max(mean.mSwing, one.mSwing);
  }
  const std::string name = std::string(aCase.mName) + (aWaits ? ", waiting" : ", before");
  MESSAGE(name << ", load " << aCase.mLoad << ": timely " << mean.mTimely << ", answered "
               << mean.mAnswered << ", rejections " << mean.mRejections << ", refusals "
               << mean.mRefusals << ", early " << mean.mEarly << ", swing " << mean.mSwing);
  return mean;
}

} // namespace

// Guards against a burst in which servers reject each call several times and few are answered.
TEST_CASE("waiting spares rejections in a burst, and no fewer answers are in time")
{
  for (const load_case& load : std::vector<load_case>{
         { .mName = "all well", .mLoad = 1 },
         { .mName = "all well", .mLoad = 2 },
         { .mName = "all well", .mLoad = 4 },
         { .mName = "a server lost", .mLoad = 1, .mLosesServer = true },
         { .mName = "a server lost", .mLoad = 2, .mLosesServer = true },
         { .mName = "a slow server", .mLoad = 1, .mHasSlowServer = true },
         { .mName = "a slow server", .mLoad = 2, .mHasSlowServer = true },
         { .mName = "half cut off", .mLoad = 1, .mCutOff = 0.5 },
         { .mName = "half cut off", .mLoad = 2, .mCutOff = 0.5 },
       }) {
    const load_result before = Simulate(load, false);
    const load_result waiting = Simulate(load, true);
    CHECK(waiting.mRejections < before.mRejections / 2);
    CHECK(waiting.mTimely > before.mTimely - 0.01);
    CHECK(waiting.mAnswered > before.mAnswered - 0.05);
    CHECK(waiting.mRefusals < before.mRefusals);
    CHECK(waiting.mEarly >= 0.9); // of the refusals, as the common page asks
  }
}

// Guards against calls that are held or refused though servers have places.
TEST_CASE("below the capacity calls are served as without a waiting room")
{
  for (const load_case& load :
       std::vector<load_case>{ { .mName = "all well", .mLoad = 0.3 },
                               { .mName = "a server lost", .mLoad = 0.3, .mLosesServer = true },
                               { .mName = "a slow server", .mLoad = 0.3, .mHasSlowServer = true },
                               { .mName = "half cut off", .mLoad = 0.3, .mCutOff = 0.5 } }) {
    const load_result before = Simulate(load, false);
    const load_result waiting = Simulate(load, true);
    CHECK(waiting.mTimely > before.mTimely - 0.001);
    CHECK(waiting.mRefusals <= before.mRefusals + 0.001);
  }
}

// Oscillation: the servers' work in one report interval deviates from its mean by a quarter or
// more, though more arrives all the time than they can do.
TEST_CASE("instances that hold calls by old news do not oscillate")
{
  CHECK(Simulate({ .mName = "all well", .mLoad = 2 }, true).mSwing < 0.25);
  CHECK(Simulate({ .mName = "all well", .mLoad = 4 }, true).mSwing < 0.25);
  CHECK(Simulate({ .mName = "half cut off", .mLoad = 2, .mCutOff = 0.5 }, true).mSwing < 0.25);
  CHECK(Simulate({ .mName = "a slow server", .mLoad = 2, .mHasSlowServer = true }, true).mSwing <
        0.25);
}

// Guards against an account that is never let go, as more urgent ones or one with six times its
// traffic take all places that come free within the time that its calls can wait.
TEST_CASE("no account, route or session is starved while few calls can wait")
{
  constexpr int kAccounts = 4;
  const overload::place_view taken{ .mPlaces = 24, .mAreTaken = true, .mReportedAt = kStart };
  const overload::pace_basis basis{ .mAnswerTime = 30ms, .mInstances = 90 };
  for (std::size_t kind = 0; kind < overload::kWaitingParties; ++kind) {
    waiting_room room;
    std::map<overload::waiting_id, int> accountOf;
    std::map<int, int> sent;
    int total = 0;
    const auto count = [&](const ended_waits& aEnded) {
      for (const overload::waiting_id id : aEnded.mLetGo) {
        ++sent[accountOf.at(id)];
        ++total;
      }
    };
    std::mt19937_64 random(1);
    for (time_point now = kStart; now < kStart + 60s; now += 5ms) {
      // Account 0 has six calls for each one of the others, account 3 is the least urgent.
      const int account = std::max<int>(0, static_cast<int>(random() % 9) - 5);
      overload::waiting_request request{ .mId = ++room.mLastId,
                                         .mUrgency = account == kAccounts - 1 ? 9 : 2,
                                         .mDeadline = now + 1500ms,
                                         .mLatest = now + 90ms };
      request.mParties[kind] = static_cast<std::uint64_t>(account) + 1;
      accountOf[request.mId] = account;
      count(Enter(room, request, taken, basis, now));
      count(Advance(room, taken, basis, now));
    }
    CHECK(total > 1000);
    for (int account = 0; account < kAccounts; ++account) {
      CHECK(sent[account] * overload::kTurnEvery * overload::kWaitingParties * kAccounts >=
            static_cast<std::uint64_t>(total));
    }
    MESSAGE("let go by account: " << sent[0] << ", " << sent[1] << ", " << sent[2] << ", "
                                  << sent[3]);
  }
}
