#include "cli/operator_client.h"

#include "base/digest.h"
#include "net/http_call.h"

#include <random>

namespace tamarackweir::cli {

using nlohmann::json;

namespace {

constexpr int kProposals = 5;

/// An answer of an instance, or nothing if none arrived whole.
std::optional<net::http_result> Ask(const platform::endpoint& aInstance, const std::string& aKey,
                                    const std::string& aTarget, const std::string& aBody = "")
{
  net::http_call call;
  call.mServer = { net::asio::ip::make_address(aInstance.mHost),
                   static_cast<std::uint16_t>(aInstance.mPort) };
  call.mMethod = aBody.empty() ? net::http::verb::get : net::http::verb::post;
  call.mTarget = aTarget;
  call.mBody = aBody;
  call.mHeader["Authorization"] = "Bearer " + aKey;
  call.mConnectLimit = 1s;
  call.mLimit = 30s;
  net::http_result result = net::PerformHere(std::move(call));
  return result.mFailure ? std::nullopt : std::optional(std::move(result));
}

/// The text that a refusal gives to a person: the problem's detail, or the whole body.
std::string MessageOf(const std::string& aBody)
{
  const json body = json::parse(aBody, nullptr, false);
  if (body.is_object()) {
    for (const char* member : { "detail", "message" }) {
      if (const auto found = body.find(member); found != body.end() && found->is_string()) {
        return found->get<std::string>();
      }
    }
  }
  return aBody;
}

std::string NewChangeId()
{
  std::random_device device;
  std::string id = "cli-";
  for (int i = 0; i < 4; ++i) {
    id += std::to_string(device()) + (i < 3 ? "-" : "");
  }
  return id;
}

[[noreturn]] void ThrowUnreachable()
{
  throw command_error(exit_code::Unreachable,
                      "no instance answered; check --instance (the operators' address) and whether "
                      "the instances run");
}

} // namespace

operator_client::operator_client(caf::actor_system& aSystem, client_options aOptions)
  : mSystem(aSystem)
  , mOptions(std::move(aOptions))
{
}

json operator_client::Get(const std::string& aPath) const
{
  for (const platform::endpoint& instance : mOptions.mInstances) {
    const auto result = Ask(instance, mOptions.mKey, aPath);
    if (!result) {
      continue;
    }
    json body = json::parse(result->mBody, nullptr, false);
    if (result->mStatus != 200 || body.is_discarded()) {
      throw command_error(exit_code::Refused, MessageOf(result->mBody));
    }
    return body;
  }
  ThrowUnreachable();
}

std::vector<json> operator_client::GetAll(const std::string& aPath) const
{
  std::vector<json> answers;
  for (const platform::endpoint& instance : mOptions.mInstances) {
    const auto result = Ask(instance, mOptions.mKey, aPath);
    if (result && result->mStatus == 200) {
      if (json body = json::parse(result->mBody, nullptr, false); !body.is_discarded()) {
        answers.push_back(std::move(body));
      }
    }
  }
  if (answers.empty()) {
    ThrowUnreachable();
  }
  return answers;
}

operator_client::accepted operator_client::Propose(const json& aTree, revision aBase) const
{
  const json body{ { "base", aBase.Value() }, { "change_id", NewChangeId() }, { "tree", aTree } };
  std::string last;
  for (int attempt = 0; attempt < kProposals; ++attempt) {
    for (const platform::endpoint& instance : mOptions.mInstances) {
      const auto result = Ask(instance, mOptions.mKey, "/operator/settings", body.dump());
      if (!result) {
        continue; // the same change id makes it safe to ask another instance
      }
      last = MessageOf(result->mBody);
      const json answer = json::parse(result->mBody, nullptr, false);
      if (result->mStatus == 200 && answer.is_object()) {
        return { revision(answer.value("revision", std::uint64_t{ 0 })), last };
      }
      if (result->mStatus == 409) {
        throw command_error(exit_code::Conflict, last);
      }
      if (result->mStatus >= 400 && result->mStatus < 500) {
        throw command_error(exit_code::Refused, last);
      }
    }
    Pause(500ms);
  }
  if (last.empty()) {
    ThrowUnreachable();
  }
  throw command_error(exit_code::Unreachable, last);
}

operator_client::accepted operator_client::Edit(const std::function<void(json& aTree)>& aEdit) const
{
  for (int attempt = 0;; ++attempt) {
    const json current = Get("/operator/settings");
    json tree = current.at("tree");
    aEdit(tree);
    try {
      return Propose(tree, revision(current.at("revision").get<std::uint64_t>()));
    } catch (const command_error& failure) {
      if (failure.Code() != exit_code::Conflict || attempt + 1 >= kProposals) {
        throw;
      }
      Pause(300ms); // the instance learns of the other change by gossip
    }
  }
}

std::vector<std::string> operator_client::AwaitInForce(revision aRevision, duration aTimeout) const
{
  constexpr duration kInterval = 100ms;
  const std::string path = "/operator/unconfirmed?revision=" + std::to_string(aRevision.Value());
  for (duration waited{};; waited += kInterval) {
    auto missing = Get(path).at("unconfirmed").get<std::vector<std::string>>();
    if (missing.empty() || waited >= aTimeout) {
      return missing;
    }
    Pause(kInterval);
  }
}

void operator_client::Pause(duration aDuration) const
{
  caf::scoped_actor self(mSystem);
  self->receive(caf::after(aDuration) >> [] {});
}

} // namespace tamarackweir::cli
