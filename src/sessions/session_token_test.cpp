#include "sessions/session_token.h"

#include "base/digest.h"
#include "base/error.h"
#include "scenario/scenario.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

using namespace tamarackweir;
using namespace tamarackweir::sessions;
using nlohmann::json;

namespace {

std::string KeyFile(const std::vector<std::string>& aIds)
{
  json keys = json::array();
  for (const std::string& id : aIds) {
    keys.push_back({ { "id", id }, { "secret", Base64UrlEncode(HmacSha256("test", id)) } });
  }
  return json{ { "keys", keys } }.dump();
}

state MakeIssuer(const std::vector<std::string>& aIds, std::uint64_t aEpoch = 1)
{
  return MakeState(ParseKeys(KeyFile(aIds)), instance_id("entry-1"), start_epoch(aEpoch));
}

const account_id kDepot("depot");
const model_version kVersion{ model_id("clerk-small"), version_id("v1") };

std::string ResultText(const std::variant<session, refusal>& aResult)
{
  return std::holds_alternative<session>(aResult) ? ToString(std::get<session>(aResult).mVersion)
                                                  : ToString(std::get<refusal>(aResult));
}

} // namespace

// Guards against acceptance of a modified token: any flipped bit must lead to a refusal.
TEST_CASE("a token with any flipped bit is refused")
{
  state issuer = MakeIssuer({ "k1", "k2" });
  const session created = CreateSession(issuer, kDepot, kVersion);
  const session_token token = IssueToken(issuer, created);
  REQUIRE(std::get<session>(VerifyToken(issuer, token, kDepot)) == created);
  std::string bytes = Base64UrlDecode(token.Value());
  for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
    std::string modified = bytes;
    modified[bit / 8] = static_cast<char>(static_cast<unsigned char>(modified[bit / 8]) ^
                                          (1U << static_cast<unsigned>(bit % 8)));
    const auto result = VerifyToken(issuer, session_token(Base64UrlEncode(modified)), kDepot);
    CAPTURE(bit);
    CHECK(std::holds_alternative<refusal>(result));
  }
}

// Guards against crashes on, and acceptance of, arbitrary header values.
TEST_CASE("header values that are not tokens are refused as malformed")
{
  const state issuer = MakeIssuer({ "k1" });
  std::mt19937_64 random(7);
  for (int i = 0; i < 2000; ++i) {
    std::string noise(random() % 120, ' ');
    for (char& character : noise) {
      character = static_cast<char>(random());
    }
    const auto text = i % 2 == 0 ? noise : Base64UrlEncode(noise);
    CHECK(ResultText(VerifyToken(issuer, session_token(text), kDepot)) == "session_malformed");
  }
  const std::string wrongTypes =
    R"([1,"m","v","k1",5])" + std::string(32, 'x'); // the account is a number
  CHECK(ResultText(VerifyToken(issuer, session_token(Base64UrlEncode(wrongTypes)), kDepot)) ==
        "session_malformed");
  CHECK(ResultText(VerifyToken(issuer, session_token(std::string(100000, 'A')), kDepot)) ==
        "session_malformed");
}

// Guards against a caller that uses another client account's session, and so its model version.
TEST_CASE("a token of another client account is refused")
{
  state issuer = MakeIssuer({ "k1" });
  const session_token token = IssueToken(issuer, CreateSession(issuer, kDepot, kVersion));
  CHECK(ResultText(VerifyToken(issuer, token, account_id("clinic"))) == "session_of_other_account");
}

// Guards against sessions with equal numbers, which a roll-out would count as one.
TEST_CASE("instances and their restarts never issue the same session number")
{
  std::set<std::uint64_t> seen;
  for (std::uint64_t epoch = 1; epoch <= 50; ++epoch) {
    state issuer = MakeIssuer({ "k1" }, epoch);
    for (int i = 0; i < 200; ++i) {
      seen.insert(CreateSession(issuer, kDepot, kVersion).mNumber.Value());
    }
  }
  CHECK(seen.size() == 50 * 200);
}

// Guards against key files that would accept forged tokens or refuse all sessions.
TEST_CASE("invalid key files are refused with no secret in the message")
{
  const std::string secret = Base64UrlEncode("short-secret");
  const std::vector<std::string> files{ "",
                                        "{}",
                                        R"({"keys": []})",
                                        R"({"keys": [{"id": "k1"}]})",
                                        R"({"keys": [{"id": "k1", "secret": "!!"}]})",
                                        R"({"keys": [{"id": "k1", "secret": ")" + secret +
                                          R"("}]})",
                                        KeyFile({ "k1", "k1" }),
                                        KeyFile({ "", "k1" }),
                                        KeyFile({ "k1", "k2", "k3" }) };
  for (const std::string& file : files) {
    try {
      ParseKeys(file);
      FAIL("accepted: " << file);
    } catch (const error& refused) {
      CHECK(refused.Kind() == error_kind::InvalidInput);
      CHECK(std::string(refused.what()).find(secret) == std::string::npos);
    }
  }
  CHECK_NOTHROW(ParseKeys(KeyFile({ "k1" })));
}

// Guards against regressions in key rotation and in sessions across version states.
TEST_CASE("the session scenarios give the expected results")
{
  int scripts = 0;
  for (const auto& file :
       std::filesystem::directory_iterator(TAMARACKWEIR_SLICE_DIR "/scenarios")) {
    std::map<std::string, state> instances;
    std::map<std::string, session_token> tokens;
    const scenario::verb_table verbs{
      { "keys",
        [&](const json& aWith, time_point) {
          const auto keys = ParseKeys(KeyFile(aWith.at("ids")));
          const std::string name = aWith.at("instance");
          if (const auto found = instances.find(name); found != instances.end()) {
            RotateKeys(found->second, keys);
          } else {
            instances.emplace(name, MakeState(keys, instance_id(name), start_epoch(1)));
          }
          return json::object();
        } },
      { "issue",
        [&](const json& aWith, time_point) {
          state& at = instances.at(aWith.at("instance"));
          tokens[aWith.at("token")] =
            IssueToken(at, CreateSession(at, account_id(aWith.at("account")), kVersion));
          return json::object();
        } },
      { "request",
        [&](const json& aWith, time_point) {
          const std::map<std::string, version_state> states{
            { "active", version_state::Active },
            { "leaving", version_state::Leaving },
            { "withdrawn", version_state::Withdrawn },
            { "absent", version_state::Absent },
          };
          const auto versionState = states.at(aWith.value("version_state", "active"));
          std::optional<refusal> refused;
          if (!aWith.contains("token")) {
            refused = CheckStart(versionState);
            return json{ { "result", refused ? ToString(*refused) : "new" } };
          }
          const auto result =
            VerifyToken(instances.at(aWith.at("instance")), tokens.at(aWith.at("token")),
                        account_id(aWith.at("account")));
          if (std::holds_alternative<session>(result)) {
            refused = CheckContinue(versionState);
          }
          return json{ { "result", refused ? ToString(*refused) : ResultText(result) } };
        } },
    };
    const auto script = scenario::Load(file.path());
    const auto mismatches = scenario::Run(script, verbs);
    CHECK_MESSAGE(mismatches.empty(), script.mName << "\n" << scenario::Describe(mismatches));
    ++scripts;
  }
  CHECK(scripts == 2);
}
