#include "base/error.h"
#include "standins/chat.h"
#include "standins/kinds.h"
#include "standins/network.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <random>
#include <set>
#include <utility>

namespace tamarackweir::standins {

namespace {

/// A report with the moment of its measurement.
struct measured_report
{
  time_point mAt;
  json mReport;
};

struct engine
{
  explicit engine(standin& aBase)
    : mBase(aBase)
  {
  }

  standin& mBase;
  std::uint64_t mEpoch = 0;
  time_point mStarted{}; ///< start of the epoch
  bool mCold = false;
  std::uint64_t mFinished = 0; ///< requests that ended in this epoch
  std::uint64_t mRunning = 0;
  std::set<std::string> mVersions;
  std::deque<std::string> mToLoad; ///< the front one is being loaded
  std::uint64_t mFencing = 0;      ///< highest number seen in an order
  std::string mRole = "engine";
  std::deque<measured_report> mReports; ///< kept only while `load_lag_ms` is set
  std::jthread mLoader;                 ///< last, so that it ends before the rest is destroyed
};

/// A running request; `mEpoch` tells whether the engine has crashed since its start.
struct running_request
{
  std::shared_ptr<engine> mEngine;
  httplib::Request mHttp;
  int mSocket = -1;
  std::uint64_t mEpoch = 0;
  time_point mFirstToken{};
  duration mBetween{};
  bool mEnded = false; ///< all of the answer was written
  std::vector<std::string> mTokens;
};

std::uint64_t NewEpoch()
{
  // 53 bits, so that JSON readers that use doubles keep the number exact.
  std::random_device source;
  return (static_cast<std::uint64_t>(source()) << 21U ^ source()) & ((1ULL << 53U) - 1);
}

double Number(const engine& aEngine, const char* aName)
{
  return aEngine.mBase.mSwitches.at(aName).get<double>();
}

/// A setting of one version: from `per_version`, else the engine's own. Needs the lock.
double VersionNumber(const engine& aEngine, const std::string& aVersion, const char* aName)
{
  const json& versions = aEngine.mBase.mSwitches.at("per_version");
  const json& own = versions.contains(aVersion) ? versions.at(aVersion) : versions.at("*");
  return own.at(aName).is_null() ? Number(aEngine, aName) : own.at(aName).get<double>();
}

bool IsCold(engine& aEngine, time_point aNow)
{
  const double requests = Number(aEngine, "warm_after_requests");
  const duration time = Milliseconds(aEngine.mBase, "warm_after_ms");
  if ((time > 0us && aNow - aEngine.mStarted >= time) ||
      (requests > 0 && static_cast<double>(aEngine.mFinished) >= requests)) {
    aEngine.mCold = false;
  }
  return aEngine.mCold;
}

json Report(engine& aEngine, time_point aNow)
{
  return { { "epoch", aEngine.mEpoch },
           // Microseconds since the epoch's start: grows with every measurement.
           { "sequence", (aNow - aEngine.mStarted).count() },
           { "running", aEngine.mRunning },
           { "waiting", 0 },
           { "capacity", aEngine.mBase.mSwitches.at("capacity") },
           { "cold", IsCold(aEngine, aNow) },
           { "cold_limit", aEngine.mBase.mSwitches.at("cold_limit") },
           { "versions", aEngine.mVersions } };
}

/// Records the state for lagging reports; called at every change.
void Measure(engine& aEngine)
{
  const duration lag = Milliseconds(aEngine.mBase, "load_lag_ms");
  if (lag == 0us) {
    aEngine.mReports.clear();
    return;
  }
  const time_point now = Now();
  aEngine.mReports.push_back({ now, Report(aEngine, now) });
  while (aEngine.mReports.size() > 1 && aEngine.mReports[1].mAt <= now - lag) {
    aEngine.mReports.pop_front();
  }
}

void StartEpoch(engine& aEngine, bool aCold)
{
  aEngine.mEpoch = NewEpoch();
  aEngine.mStarted = Now();
  aEngine.mCold = aCold;
  aEngine.mFinished = 0;
  aEngine.mRunning = 0;
  aEngine.mToLoad.clear();
  Measure(aEngine);
}

/// Drops all running requests and starts a new epoch. Needs the lock.
void Crash(engine& aEngine)
{
  ++aEngine.mBase.mCounts["crashes"];
  aEngine.mBase.mCounts["dropped"] += aEngine.mRunning;
  StartEpoch(aEngine, Number(aEngine, "cold_limit") > 0);
  aEngine.mBase.mAbsentUntil = Now() + Milliseconds(aEngine.mBase, "restart_ms");
  aEngine.mBase.mChanged.notify_all();
}

void RefuseNotRun(engine& aEngine, httplib::Response& aAnswer, const std::string& aWhy)
{
  ++aEngine.mBase.mCounts["refused"];
  Answer(aAnswer, 503, { { "outcome", "not_run" }, { "error", { { "message", aWhy } } } });
}

/// Starts the request, or returns null after having refused or crashed. Needs the lock.
std::shared_ptr<running_request> Admit(const std::shared_ptr<engine>& aEngine,
                                       const chat_request& aChat, const httplib::Request& aHttp,
                                       httplib::Response& aAnswer)
{
  standin& base = aEngine->mBase;
  const time_point now = Now();
  const auto running = static_cast<double>(aEngine->mRunning);
  if (UseSwitch(base, "leaving")) {
    RefuseNotRun(*aEngine, aAnswer, base.mId + " is leaving; send to another server");
    return nullptr;
  }
  if (!aEngine->mVersions.contains(aChat.mVersion)) {
    RefuseNotRun(*aEngine, aAnswer,
                 aChat.mVersion + " is not loaded; send to a server that reports it at GET /load");
    return nullptr;
  }
  const bool overload = IsCold(*aEngine, now) && running >= Number(*aEngine, "cold_limit");
  if (overload || aChat.mLastUserMessage.find("crash-engine") != std::string::npos) {
    base.mCounts["overloads"] += overload ? 1 : 0;
    ++base.mCounts["dropped"];
    Crash(*aEngine);
    DropConnection(aHttp);
    return nullptr;
  }
  if (running >= Number(*aEngine, "capacity")) {
    RefuseNotRun(*aEngine, aAnswer, base.mId + " is at its capacity; send to another server");
    return nullptr;
  }
  const double failsAbove = VersionNumber(*aEngine, aChat.mVersion, "fails_above");
  if (failsAbove > 0 && running >= failsAbove && ++base.mCounts["over_load"] % 2 == 1) {
    ++base.mCounts["failed_under_load"];
    Answer(aAnswer, 500, { { "error", { { "message", base.mId + " failed under load" } } } });
    return nullptr;
  }
  ++base.mCounts["started"];
  ++aEngine->mRunning;
  ++base.mOpenAnswers;
  Measure(*aEngine);
  const auto wanted =
    static_cast<std::size_t>(VersionNumber(*aEngine, aChat.mVersion, "answer_tokens"));
  std::shared_ptr<running_request> result(
    new running_request{
      aEngine, aHttp, FindSocket(aHttp), aEngine->mEpoch,
      now + duration(static_cast<std::int64_t>(
              1000 * VersionNumber(*aEngine, aChat.mVersion, "first_token_ms"))),
      duration(
        static_cast<std::int64_t>(1000 * VersionNumber(*aEngine, aChat.mVersion, "token_ms"))),
      false, AnswerTokens(aChat, wanted, VersionNumber(*aEngine, aChat.mVersion, "bad_share")) },
    [](running_request* aEnding) {
      const std::unique_ptr<running_request> ending(aEnding);
      engine& owner = *ending->mEngine;
      const std::lock_guard lock(owner.mBase.mMutex);
      if (ending->mEpoch == owner.mEpoch) {
        --owner.mRunning;
        owner.mFinished += ending->mEnded ? 1 : 0;
        ++owner.mBase.mCounts[ending->mEnded ? "finished" : "cancelled"];
        Measure(owner);
      }
      if (--owner.mBase.mOpenAnswers == 0) {
        owner.mBase.mChanged.notify_all();
      }
    });
  return result;
}

/// Waits for the moment of a token; returns false if the request was cancelled or dropped by a
/// crash.
bool AwaitToken(running_request& aRequest, std::size_t aTokensSoFar)
{
  engine& owner = *aRequest.mEngine;
  std::unique_lock lock(owner.mBase.mMutex);
  const time_point due =
    aRequest.mFirstToken + aRequest.mBetween * static_cast<std::int64_t>(aTokensSoFar);
  const auto crashed = [&] { return owner.mEpoch != aRequest.mEpoch; };
  while (!owner.mBase.mStopping && !crashed() && Now() < due) {
    if (IsClosedByPeer(aRequest.mSocket)) {
      return false;
    }
    // A disconnect is noticed within this time, also in a long wait for one token.
    WaitUntil(owner.mBase, lock, std::min(due, Now() + 20ms), crashed);
  }
  if (crashed()) {
    shutdown(aRequest.mSocket, SHUT_RDWR);
    return false;
  }
  return owner.mBase.mStopping || !IsClosedByPeer(aRequest.mSocket);
}

/// Where a stream starts: after the event that `Last-Event-ID` names, if the engine resumes.
std::size_t FirstEvent(engine& aEngine, const httplib::Request& aHttp, std::size_t aEvents)
{
  if (!aHttp.has_header("Last-Event-ID") || !aEngine.mBase.mSwitches.at("resume").get<bool>()) {
    return 0;
  }
  const std::string text = aHttp.get_header_value("Last-Event-ID");
  std::size_t last = 0;
  const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), last);
  if (failure != std::errc() || end != text.data() + text.size() || last >= aEvents) {
    throw error(error_kind::InvalidInput, "Last-Event-ID is '" + text + "'",
                "send the id of the last event received, at most " + std::to_string(aEvents - 1));
  }
  ++aEngine.mBase.mCounts["resumed"];
  return last + 1;
}

void Stream(const std::shared_ptr<running_request>& aRequest, std::vector<std::string> aEvents,
            std::size_t aFirst, httplib::Response& aAnswer)
{
  aAnswer.status = 200;
  aAnswer.set_header("Cache-Control", "no-cache");
  aAnswer.set_chunked_content_provider(
    "text/event-stream",
    [aRequest, events = std::move(aEvents), aFirst](std::size_t, httplib::DataSink& aSink) {
      // Events after the tokens follow without delay.
      const std::size_t tokens = aRequest->mTokens.size();
      for (std::size_t index = aFirst; index < events.size(); ++index) {
        if ((index < tokens || index == aFirst) &&
            !AwaitToken(*aRequest, std::min(index, tokens) - std::min(aFirst, tokens))) {
          return false;
        }
        if (!aSink.write(events[index].data(), events[index].size())) {
          return false;
        }
      }
      aRequest->mEnded = true;
      aSink.done();
      return true;
    });
}

void Chat(const std::shared_ptr<engine>& aEngine, const httplib::Request& aHttp,
          httplib::Response& aAnswer)
{
  const chat_request chat = ParseChat(ParseBody(aHttp));
  const std::string id = aHttp.get_header_value("Tamarackweir-Request");
  if (!id.empty()) {
    aAnswer.set_header("Tamarackweir-Request", id);
  }
  std::unique_lock lock(aEngine->mBase.mMutex);
  const auto wanted =
    static_cast<std::size_t>(VersionNumber(*aEngine, chat.mVersion, "answer_tokens"));
  const std::shared_ptr<running_request> running = Admit(aEngine, chat, aHttp, aAnswer);
  // Unlocked before `running` can be released: its deleter takes the lock.
  lock.unlock();
  if (!running) {
    return;
  }
  if (chat.mStream) {
    std::vector<std::string> events = StreamEvents(chat, id, running->mTokens, wanted);
    lock.lock();
    std::size_t first = 0;
    try {
      first = FirstEvent(*aEngine, aHttp, events.size());
    } catch (...) {
      lock.unlock();
      throw;
    }
    lock.unlock();
    Stream(running, std::move(events), first, aAnswer);
    return;
  }
  if (AwaitToken(*running, running->mTokens.empty() ? 0 : running->mTokens.size() - 1)) {
    Answer(aAnswer, 200, PlainAnswer(chat, id, running->mTokens, wanted));
    running->mEnded = true;
  }
}

json Load(engine& aEngine)
{
  const time_point now = Now();
  Measure(aEngine);
  if (aEngine.mReports.empty()) {
    return Report(aEngine, now);
  }
  // `Measure` keeps the newest report that is old enough at the front.
  return aEngine.mReports.front().mReport;
}

/// Takes the weights of a version from the weight store; returns whether it has them.
bool FetchWeights(standin& aStandin, const std::string& aVersion)
{
  const std::string address = aStandin.mOptions.at("weights_address");
  if (address.empty()) {
    return true;
  }
  const std::size_t at = aVersion.find('@');
  httplib::Client client("http://" + address);
  const auto answer =
    client.Get("/weights/" + aVersion.substr(0, at) + "/" + aVersion.substr(at + 1));
  const std::lock_guard lock(aStandin.mMutex);
  const bool fetched = answer && answer->status == 200;
  ++aStandin.mCounts[fetched                           ? "weights_fetched"
                     : answer && answer->status == 429 ? "weights_over_rate"
                                                       : "weights_failed"];
  return fetched;
}

/// Loads the ordered versions one after another until the stand-in stops.
void LoadVersions(engine& aEngine)
{
  standin& base = aEngine.mBase;
  std::unique_lock lock(base.mMutex);
  while (!base.mStopping) {
    if (aEngine.mToLoad.empty()) {
      base.mChanged.wait(lock, [&] { return base.mStopping || !aEngine.mToLoad.empty(); });
      continue;
    }
    const std::string version = aEngine.mToLoad.front();
    const std::uint64_t epoch = aEngine.mEpoch;
    // A crash or an order to unload ends the load; a second order starts it anew.
    const auto ended = [&] {
      return aEngine.mEpoch != epoch || aEngine.mToLoad.empty() ||
             aEngine.mToLoad.front() != version;
    };
    lock.unlock();
    const bool fetched = FetchWeights(base, version);
    lock.lock();
    // The weight store asks for 1 s with Retry-After; its outage is met in the same way.
    WaitUntil(base, lock, Now() + (fetched ? Milliseconds(base, "load_ms") : duration(1s)), ended);
    if (fetched && !ended() && !base.mStopping) {
      aEngine.mToLoad.pop_front();
      aEngine.mVersions.insert(version);
      ++base.mCounts["versions_loaded"];
      Measure(aEngine);
    }
  }
}

/// Carries out an order; orders that ask for the present state change nothing.
void Order(engine& aEngine, const httplib::Request& aHttp, httplib::Response& aAnswer)
{
  const json body = ParseBody(aHttp);
  CheckMembers(body, { { "order", "" }, { "version", "" }, { "fencing", 0 } }, "order");
  const std::string order = Text(body, "order");
  const std::string version = Text(body, "version");
  if (!body.contains("fencing") || !body["fencing"].is_number_unsigned()) {
    throw error(error_kind::InvalidInput, "member fencing is absent or no whole number",
                "add the fencing number of the roll-out's driver");
  }
  if (order != "load" && order != "unload" && order != "role") {
    throw error(error_kind::InvalidInput, "unknown order " + order, "use load, unload or role");
  }
  if (order == "load" && version.find('@') == std::string::npos) {
    throw error(error_kind::InvalidInput, "version " + version + " names no model",
                "write it as model@version");
  }
  const std::lock_guard lock(aEngine.mBase.mMutex);
  if (const std::uint64_t fencing = body["fencing"]; fencing < aEngine.mFencing) {
    ++aEngine.mBase.mCounts["stale_orders"];
    if (UseSwitch(aEngine.mBase, "check_fencing")) {
      Answer(
        aAnswer, 409,
        { { "fencing", aEngine.mFencing },
          { "error",
            { { "message", "fencing number " + std::to_string(fencing) +
                             " is stale; read the roll-out row for the current driver" } } } });
      return;
    }
  } else {
    aEngine.mFencing = fencing;
  }
  ++aEngine.mBase.mCounts["orders"];
  auto& queue = aEngine.mToLoad;
  if (order == "role") {
    aEngine.mRole = version;
  } else if (order == "unload") {
    aEngine.mVersions.erase(version);
    std::erase(queue, version);
  } else if (!aEngine.mVersions.contains(version) &&
             std::find(queue.begin(), queue.end(), version) == queue.end()) {
    queue.push_back(version);
  }
  Measure(aEngine);
  aEngine.mBase.mChanged.notify_all();
  Answer(aAnswer, 200, { { "versions", aEngine.mVersions }, { "loading", queue } });
}

void ServeEngine(standin& aStandin)
{
  const auto state = std::make_shared<engine>(aStandin);
  for (const json& version : aStandin.mOptions.at("versions")) {
    state->mVersions.insert(version.get<std::string>());
  }
  StartEpoch(*state, UseSwitch(aStandin, "cold"));
  aStandin.mAddStats = [state](json& aStats) {
    aStats["load"] = Report(*state, Now());
    aStats["role"] = state->mRole;
    aStats["fencing"] = state->mFencing;
    aStats["loading"] = state->mToLoad;
  };
  aStandin.mOnSwitched = [state](const json& aPatch) {
    if (aPatch.contains("cold")) {
      state->mCold = UseSwitch(state->mBase, "cold");
      state->mStarted = Now();
      state->mFinished = 0;
    }
    if (UseSwitch(state->mBase, "crash")) {
      state->mBase.mSwitches["crash"] = false;
      Crash(*state);
    }
    Measure(*state);
  };
  aStandin.mServer.Post(
    "/v1/chat/completions",
    Guard(aStandin, [state](const auto& aHttp, auto& aAnswer) { Chat(state, aHttp, aAnswer); }));
  aStandin.mServer.Post("/orders", Guard(aStandin, [state](const auto& aHttp, auto& aAnswer) {
                          Order(*state, aHttp, aAnswer);
                        }));
  state->mLoader = std::jthread([loading = state.get()] { LoadVersions(*loading); });
  aStandin.mServer.Get("/load", Guard(aStandin, [state](const auto&, auto& aAnswer) {
                         const std::lock_guard lock(state->mBase.mMutex);
                         Answer(aAnswer, 200, Load(*state));
                       }));
}

} // namespace

kind EngineKind()
{
  const json perVersion{ { "answer_tokens", nullptr },
                         { "first_token_ms", nullptr },
                         { "token_ms", nullptr },
                         { "bad_share", nullptr },
                         { "fails_above", nullptr } };
  return { { { "versions", json::array() }, { "weights_address", "" } },
           { { "down", false },
             { "slow_ms", 0 },
             { "answer_tokens", 20 },
             { "first_token_ms", 5 },
             { "token_ms", 1 },
             { "bad_share", 0 },
             { "fails_above", 0 },
             { "per_version", { { "*", perVersion } } },
             { "capacity", 64 },
             { "cold", false },
             { "cold_limit", 4 },
             { "warm_after_ms", 0 },
             { "warm_after_requests", 0 },
             { "restart_ms", 0 },
             { "resume", true },
             { "leaving", false },
             { "crash", false },
             { "load_lag_ms", 0 },
             { "load_ms", 0 },
             { "check_fencing", true } },
           ServeEngine };
}

} // namespace tamarackweir::standins
