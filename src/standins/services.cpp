#include "base/digest.h"
#include "base/error.h"
#include "standins/kinds.h"
#include "standins/network.h"

#include <algorithm>
#include <random>

namespace tamarackweir::standins {

namespace {

struct service_state
{
  std::uint64_t mEpoch = std::random_device{}();
  time_point mStarted = Now();
  std::uint64_t mRunning = 0;
  std::map<std::string, std::uint64_t> mRuns; ///< by idempotency key; "" for calls without one
};

void Call(standin& aStandin, service_state& aState, const httplib::Request& aHttp,
          httplib::Response& aAnswer)
{
  const std::string service = aHttp.matches[1];
  const std::string call = aHttp.matches[2];
  const std::string key = aHttp.get_header_value("Idempotency-Key");
  if (const std::string own = aStandin.mOptions.at("service"); !own.empty() && own != service) {
    throw error(error_kind::NotFound, "this server runs service " + own + ", not " + service,
                "send the call to a server of " + service);
  }
  if (const std::string id = aHttp.get_header_value("Tamarackweir-Request"); !id.empty()) {
    aAnswer.set_header("Tamarackweir-Request", id);
  }
  std::unique_lock lock(aStandin.mMutex);
  const json& capacity = aStandin.mSwitches.at("capacity");
  if (UseSwitch(aStandin, "leaving") || aState.mRunning >= capacity.get<std::uint64_t>()) {
    ++aStandin.mCounts["refused"];
    Answer(aAnswer, 503,
           { { "outcome", "not_run" },
             { "error", { { "message", "leaving or at capacity; send to another server" } } } });
    return;
  }
  // The run counts from its start: a caller that disconnects during the delay doesn't undo it.
  const std::uint64_t run = ++aState.mRuns[key];
  ++aStandin.mCounts["runs_total"];
  ++aState.mRunning;
  WaitUntil(aStandin, lock, Now() + Milliseconds(aStandin, "delay_ms"));
  --aState.mRunning;
  Answer(aAnswer, 200,
         { { "service", service }, { "call", call }, { "key", key }, { "run", run } });
  if (UseSwitch(aStandin, "lose_answer")) {
    ++aStandin.mCounts["answers_lost"];
    DropConnection(aHttp);
  }
}

void ServeService(standin& aStandin)
{
  const auto state = std::make_shared<service_state>();
  aStandin.mAddStats = [state](json& aStats) {
    aStats["runs"] = state->mRuns;
    aStats["running"] = state->mRunning;
    aStats["keys_run_again"] =
      std::count_if(state->mRuns.begin(), state->mRuns.end(),
                    [](const auto& aRun) { return !aRun.first.empty() && aRun.second > 1; });
  };
  aStandin.mServer.Post(R"(/v1/services/([^/]+)/([^/]+))",
                        Guard(aStandin, [&aStandin, state](const auto& aHttp, auto& aAnswer) {
                          Call(aStandin, *state, aHttp, aAnswer);
                        }));
  aStandin.mServer.Get("/load", Guard(aStandin, [&aStandin, state](const auto&, auto& aAnswer) {
                         const std::lock_guard lock(aStandin.mMutex);
                         Answer(aAnswer, 200,
                                { { "epoch", state->mEpoch },
                                  { "sequence", (Now() - state->mStarted).count() },
                                  { "running", state->mRunning },
                                  { "waiting", 0 },
                                  { "capacity", aStandin.mSwitches.at("capacity") },
                                  { "cold", false },
                                  { "cold_limit", 0 },
                                  { "versions", json::array() } });
                       }));
}

/// Quality of a model: the most specific entry of model@version/kind, model@version, model/kind,
/// model and "*".
double Quality(const json& aTable, const std::string& aModel, const std::string& aKind)
{
  const std::string base = aModel.substr(0, aModel.find('@'));
  for (const std::string& name : { aModel + "/" + aKind, aModel, base + "/" + aKind, base }) {
    if (aTable.contains(name)) {
      return aTable.at(name);
    }
  }
  return aTable.at("*");
}

void Rate(standin& aStandin, const httplib::Request& aHttp, httplib::Response& aAnswer)
{
  const json body = ParseBody(aHttp);
  CheckMembers(body, { { "request_id", "" }, { "model", "" }, { "kind", "" }, { "answer", "" } },
               "rating");
  const std::string model = Text(body, "model");
  const std::string requestKind = Text(body, "kind");
  const std::string id = Text(body, "request_id");
  const bool bad = Text(body, "answer").starts_with("bad");
  const std::lock_guard lock(aStandin.mMutex);
  const json& switches = aStandin.mSwitches;
  // Seeded by the request, not by the order of arrival, so that runs with threads repeat.
  std::mt19937_64 random(StableHash(model + "|" + id, switches.at("seed").get<std::uint64_t>()));
  const bool missing =
    std::uniform_real_distribution{}(random) < switches.at("missing_share").get<double>();
  if (missing) {
    ++aStandin.mCounts["missing"];
    aAnswer.status = 204;
    return;
  }
  ++aStandin.mCounts["rated"];
  const double quality = bad ? switches.at("bad_score").get<double>()
                             : Quality(switches.at("quality"), model, requestKind);
  const double noise = std::normal_distribution{}(random)*switches.at("noise").get<double>();
  Answer(aAnswer, 200, { { "score", std::clamp(quality + noise, 0.0, 1.0) } });
}

void ServeRating(standin& aStandin)
{
  aStandin.mServer.Post("/ratings", Guard(aStandin, [&aStandin](const auto& aHttp, auto& aAnswer) {
                          Rate(aStandin, aHttp, aAnswer);
                        }));
}

void ServeWeights(standin& aStandin)
{
  const auto meter = std::make_shared<rate_meter>();
  aStandin.mAddStats = [meter](json& aStats) { aStats["reads"] = ToJson(*meter, Now()); };
  aStandin.mServer.Get(
    R"(/weights/([^/]+)/([^/]+))",
    Guard(aStandin, [&aStandin, meter](const auto& aHttp, auto& aAnswer) {
      const std::lock_guard lock(aStandin.mMutex);
      if (!Count(*meter, Now(), aStandin.mSwitches.at("limit_reads").get<std::uint64_t>())) {
        ++aStandin.mCounts["refused"];
        AnswerTooMany(aAnswer, "limit_reads");
        return;
      }
      aAnswer.set_content("weights of " + std::string(aHttp.matches[1]) + "@" +
                            std::string(aHttp.matches[2]),
                          "application/octet-stream");
    }));
}

} // namespace

kind ServiceKind()
{
  return { { { "service", "" } },
           { { "down", false },
             { "slow_ms", 0 },
             { "delay_ms", 0 },
             { "capacity", 256 },
             { "leaving", false },
             { "lose_answer", false } },
           ServeService };
}

kind RatingKind()
{
  return { json::object(),
           { { "down", false },
             { "slow_ms", 0 },
             { "quality", { { "*", 0.8 } } },
             { "noise", 0.05 },
             { "bad_score", 0.1 },
             { "missing_share", 0 },
             { "seed", 1 } },
           ServeRating };
}

kind WeightsKind()
{
  return { json::object(),
           { { "down", false }, { "slow_ms", 0 }, { "limit_reads", 2 } },
           ServeWeights };
}

} // namespace tamarackweir::standins
