#include "balancing/balancing.h"

#include "scenario/scenario.h"

#include <doctest/doctest.h>
#include <set>

using namespace tamarackweir;
using namespace tamarackweir::balancing;
using nlohmann::json;

namespace {

const model_version kVersion{ model_id("clerk-small"), version_id("v1") };
const duration kOffset = 1h;

std::vector<model_version> VersionsOf(const json& aNames)
{
  std::vector<model_version> versions;
  for (const std::string name : aNames) {
    const auto at = name.find('@');
    versions.push_back({ model_id(name.substr(0, at)), version_id(name.substr(at + 1)) });
  }
  return versions;
}

std::vector<std::uint64_t> NumbersOf(const json& aWith, const std::string& aKey)
{
  return aWith.contains(aKey) ? aWith[aKey].get<std::vector<std::uint64_t>>()
                              : std::vector<std::uint64_t>{};
}

json ChooseMany(state& aState, const json& aWith, time_point aNow, std::mt19937_64& aRandom)
{
  request wanted{ VersionsOf(json::array({ aWith.value("version", "clerk-small@v1") }))[0],
                  NumbersOf(aWith, "prefixes"),
                  {},
                  aWith.value("allow_cold", false) };
  const std::string exclude = aWith.value("exclude", "");
  if (!exclude.empty()) {
    wanted.mExclude.emplace_back(exclude);
  }
  std::set<std::string> servers;
  std::set<std::string> reasons;
  bool credit = false;
  for (int i = 0; i < aWith.value("times", 200); ++i) {
    const auto picked = Choose(aState, wanted, aNow, aRandom);
    servers.insert(picked ? picked->mServer.Value() : "none");
    if (picked) {
      reasons.insert(picked->mReason == reason::Load     ? "load"
                     : picked->mReason == reason::Prefix ? "prefix"
                                                         : "last_resort");
      credit = credit || picked->mNeedsCredit;
    }
  }
  return { { "servers", servers }, { "reasons", reasons }, { "needs_credit", credit } };
}

scenario::verb_table Verbs(state& aState, std::mt19937_64& aRandom)
{
  return {
    { "servers",
      [&aState](const json& aWith, time_point aNow) {
        std::vector<listed_server> listed;
        for (const auto& [id, centre] : aWith.items()) {
          listed.push_back({ server_id(id), data_centre_id(centre), false });
        }
        OnServerList(aState, listed, aNow + kOffset);
        return json::object();
      } },
    { "data_centres",
      [&aState](const json& aWith, time_point aNow) {
        std::vector<data_centre> centres;
        for (const auto& [id, in] : aWith.items()) {
          centres.push_back({ data_centre_id(id), "hokkaido", in == "in" });
        }
        OnDataCentres(aState, centres, aNow + kOffset);
        return json::object();
      } },
    { "report",
      [&aState](const json& aWith, time_point aNow) {
        const server_id id(aWith.at("server"));
        OnLoadReport(aState,
                     { id, start_epoch(aWith.value("epoch", 1U)), aWith.value("sequence", 1U),
                       aWith.value("running", 0), aWith.value("waiting", 0),
                       aWith.value("capacity", 10),
                       VersionsOf(aWith.value("versions", json::array({ "clerk-small@v1" }))),
                       aNow + kOffset - duration(1000 * aWith.value("age_ms", 0)) },
                     aNow + kOffset);
        OnColdState(aState, id, aWith.value("cold", false), aNow + kOffset);
        return json::object();
      } },
    { "leaving",
      [&aState](const json& aWith, time_point) {
        OnServerLeaving(aState, server_id(aWith.at("server")), start_epoch(aWith.at("epoch")));
        return json::object();
      } },
    { "cache",
      [&aState](const json& aWith, time_point) {
        OnCacheEvent(aState, { server_id(aWith.at("server")), start_epoch(aWith.value("epoch", 1U)),
                               aWith.at("sequence"), NumbersOf(aWith, "added"),
                               NumbersOf(aWith, "removed") });
        return json::object();
      } },
    { "dispatch",
      [&aState](const json& aWith, time_point aNow) {
        for (int i = 0; i < aWith.value("times", 1); ++i) {
          OnDispatch(aState, server_id(aWith.at("server")), aNow + kOffset);
        }
        return json::object();
      } },
    { "end",
      [&aState](const json& aWith, time_point aNow) {
        for (int i = 0; i < aWith.value("times", 1); ++i) {
          OnRequestEnded(aState, server_id(aWith.at("server")), aNow + kOffset,
                         aWith.value("failed", false), aNow + kOffset);
        }
        return json::object();
      } },
    { "load",
      [&aState](const json& aWith, time_point) {
        const auto at = aState.mServerIndices.at(server_id(aWith.at("server")));
        return json{ { "load", EstimatedLoad(aState, aState.mServers[at]) } };
      } },
    { "choose",
      [&aState, &aRandom](const json& aWith, time_point aNow) {
        return ChooseMany(aState, aWith, aNow + kOffset, aRandom);
      } },
  };
}

} // namespace

// Guards against choosing servers that must not get requests, and against lost affinity or
// locality.
TEST_CASE("balancing scenarios produce the expected results")
{
  std::size_t count = 0;
  for (const auto& file :
       std::filesystem::directory_iterator(std::string(TAMARACKWEIR_SLICE_DIR) + "/scenarios")) {
    state chooser = Start({}, data_centre_id("a"));
    std::mt19937_64 random(1);
    const auto script = scenario::Load(file.path());
    const std::string differences =
      scenario::Describe(scenario::Run(script, Verbs(chooser, random)));
    CHECK_MESSAGE(differences.empty(), file.path().string(), "\n", differences);
    ++count;
  }
  CHECK(count == 4);
}

// Guards against choosing an ineligible server after any sequence of events.
TEST_CASE("no ineligible server is chosen after random events over 100 seeds")
{
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    state chooser = Start({}, data_centre_id("0"));
    time_point now{ 1h };
    const auto server = [&random] { return server_id(std::to_string(random() % 6)); };
    std::map<server_id, std::set<std::uint64_t>> leavingEpochs;
    std::map<server_id, std::uint64_t> epochs;
    std::uint64_t sequence = 0;
    std::set<data_centre_id> inService;
    std::set<server_id> listed;
    const auto setCentres = [&] {
      std::vector<data_centre> centres;
      inService.clear();
      for (const char* id : { "0", "1", "2" }) {
        const bool isIn = random() % 4 != 0;
        centres.push_back({ data_centre_id(id), "r", isIn });
        if (isIn) {
          inService.insert(data_centre_id(id));
        }
      }
      OnDataCentres(chooser, centres, now);
    };
    const auto setServers = [&] {
      std::vector<listed_server> entries;
      listed.clear();
      for (int i = 0; i < 6; ++i) {
        if (random() % 8 != 0) {
          const server_id id(std::to_string(i));
          entries.push_back({ id, data_centre_id(std::to_string(i % 3)), false });
          listed.insert(id);
        }
      }
      OnServerList(chooser, entries, now);
    };
    setCentres();
    setServers();
    int chosen = 0;
    for (int step = 0; step < 400; ++step) {
      now += duration(random() % 2'000'000);
      const server_id id = server();
      switch (random() % 9) {
        case 0:
          setCentres();
          break;
        case 1:
          setServers();
          break;
        case 2:
          if (chooser.mServerIndices.contains(id)) {
            const std::uint64_t epoch = 1 + random() % 3;
            leavingEpochs[id].insert(epoch);
            OnServerLeaving(chooser, id, start_epoch(epoch));
          }
          break;
        case 3:
          epochs[id] += random() % 4 == 0 ? 1 : 0;
          [[fallthrough]];
        case 4:
        case 5:
          if (chooser.mServerIndices.contains(id)) {
            OnLoadReport(
              chooser, { id, start_epoch(1 + epochs[id]), ++sequence, 1, 0, 4, { kVersion }, now },
              now);
            OnColdState(chooser, id, random() % 4 == 0, now);
          }
          break;
        case 6:
          OnRequestEnded(chooser, id, now, random() % 2 == 0, now);
          break;
        default: {
          const server_id excluded = server();
          const bool allowCold = random() % 2 == 0;
          const auto picked =
            Choose(chooser, { kVersion, {}, { excluded }, allowCold }, now, random);
          if (!picked) {
            break;
          }
          ++chosen;
          const auto& record = chooser.mServers[chooser.mServerIndices.at(picked->mServer)];
          CHECK(picked->mServer != excluded);
          CHECK(inService.contains(picked->mDataCentre));
          CHECK(listed.contains(picked->mServer));
          CHECK_FALSE(leavingEpochs[picked->mServer].contains(record.mEpoch.Value()));
          CHECK(picked->mNeedsCredit == record.mCold);
          CHECK((allowCold || !picked->mNeedsCredit));
          CHECK((now < record.mEjectedUntil) == (picked->mReason == reason::LastResort));
        }
      }
    }
    CHECK(chosen > 0);
  }
}
