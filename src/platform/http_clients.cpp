#include "platform/http_clients.h"

#include "net/http_call.h"

#include <array>
#include <cstdio>

namespace tamarackweir::platform {

using nlohmann::json;

namespace {

using net::http::verb;

net::http_call Call(const endpoint& aServer, verb aMethod, const std::string& aTarget,
                    const call_options& aOptions)
{
  net::http_call call;
  call.mServer = { net::asio::ip::make_address(aServer.mHost),
                   static_cast<std::uint16_t>(aServer.mPort) };
  call.mMethod = aMethod;
  call.mTarget = aTarget;
  call.mConnectLimit = aOptions.mConnectTimeout;
  call.mLimit = aOptions.mConnectTimeout + aOptions.mTimeout;
  return call;
}

net::http_result Post(const endpoint& aServer, const std::string& aTarget, const json& aBody,
                      const call_options& aOptions)
{
  net::http_call call = Call(aServer, verb::post, aTarget, aOptions);
  call.mBody = aBody.dump();
  return net::PerformHere(std::move(call));
}

net::http_result Get(const endpoint& aServer, const std::string& aTarget,
                     const call_options& aOptions)
{
  return net::PerformHere(Call(aServer, verb::get, aTarget, aOptions));
}

/// Parses the body of a whole answer; a body that is not JSON counts as no answer.
std::optional<json> ParseBody(const net::http_result& aResult)
{
  if (aResult.mFailure) {
    return std::nullopt;
  }
  json body = json::parse(aResult.mBody, nullptr, false);
  if (body.is_discarded()) {
    return std::nullopt;
  }
  return body;
}

/// Percent-encodes all but the unreserved characters of RFC 3986.
std::string Encode(const std::string& aText)
{
  std::string encoded;
  for (const char character : aText) {
    if (std::isalnum(static_cast<unsigned char>(character)) != 0 ||
        std::string_view("-._~/").find(character) != std::string_view::npos) {
      encoded += character;
      continue;
    }
    std::array<char, 4> code{};
    std::snprintf(code.data(), code.size(), "%%%02X", static_cast<unsigned char>(character));
    encoded += code.data();
  }
  return encoded;
}

std::vector<row> ParseRows(const json& aRows)
{
  std::vector<row> rows;
  for (const json& entry : aRows) {
    rows.push_back({ entry.at("key").get<std::string>(), entry.at("version").get<std::uint64_t>(),
                     entry.value("value", json(nullptr)) });
  }
  return rows;
}

} // namespace

commit_result Commit(const endpoint& aTable, const transaction& aTransaction,
                     const call_options& aOptions)
{
  json body{ { "expect", json::array() },
             { "put", json::array() },
             { "remove", aTransaction.mRemove } };
  for (const auto& [key, version] : aTransaction.mExpect) {
    body["expect"].push_back({ { "key", key }, { "version", version } });
  }
  for (const auto& [key, value] : aTransaction.mPut) {
    body["put"].push_back({ { "key", key }, { "value", value } });
  }
  const net::http_result result = Post(aTable, "/txn", body, aOptions);
  if (!result.mMayBeDone || (!result.mFailure && result.mStatus == 429)) {
    return { commit_status::Unreachable, {} };
  }
  try {
    if (const auto answer = ParseBody(result); answer && result.mStatus == 200) {
      return { commit_status::Committed, {} };
    } else if (answer && result.mStatus == 409) {
      return { commit_status::Conflict, ParseRows(answer->at("conflicts")) };
    }
  } catch (const json::exception&) {
    // A malformed answer says nothing about the commit.
  }
  return { commit_status::Unknown, {} };
}

read_result Read(const endpoint& aTable, const read_request& aRequest, const call_options& aOptions)
{
  json body{ { "keys", aRequest.mKeys } };
  if (!aRequest.mPrefix.empty()) {
    body["prefix"] = aRequest.mPrefix;
  }
  const net::http_result result = Post(aTable, "/read", body, aOptions);
  try {
    if (const auto answer = ParseBody(result); answer && result.mStatus == 200) {
      return { true, ParseRows(answer->at("rows")) };
    }
  } catch (const json::exception&) {
    // A malformed answer counts as no answer.
  }
  return {};
}

bool PutObject(const endpoint& aStore, const std::string& aKey, const std::string& aBytes,
               const call_options& aOptions)
{
  net::http_call call = Call(aStore, verb::put, "/objects/" + aKey, aOptions);
  call.mBody = aBytes;
  call.mContentType = "application/octet-stream";
  const net::http_result result = net::PerformHere(std::move(call));
  return !result.mFailure && result.mStatus >= 200 && result.mStatus < 300;
}

std::optional<std::string> GetObject(const endpoint& aStore, const std::string& aKey,
                                     const call_options& aOptions)
{
  net::http_result result = Get(aStore, "/objects/" + aKey, aOptions);
  if (result.mFailure || result.mStatus != 200) {
    return std::nullopt;
  }
  return std::move(result.mBody);
}

std::optional<std::vector<std::string>> ListObjects(const endpoint& aStore,
                                                    const std::string& aPrefix,
                                                    const call_options& aOptions)
{
  const auto answer = GetJson(aStore, "/objects?prefix=" + Encode(aPrefix), aOptions);
  if (!answer || !answer->contains("keys")) {
    return std::nullopt;
  }
  return answer->at("keys").get<std::vector<std::string>>();
}

std::optional<instance_list> ListInstances(const endpoint& aList, const std::string& aEntityTag,
                                           const call_options& aOptions)
{
  constexpr int kNotModified = 304;
  net::http_call call = Call(aList, verb::get, "/instances", aOptions);
  if (!aEntityTag.empty()) {
    call.mHeader["If-None-Match"] = aEntityTag;
  }
  const net::http_result result = net::PerformHere(std::move(call));
  if (!result.mFailure && result.mStatus == kNotModified) {
    return instance_list{ true, {}, aEntityTag };
  }
  const auto answer = ParseBody(result);
  if (!answer || result.mStatus != 200) {
    return std::nullopt;
  }
  instance_list list{ false, {}, std::string(result.mHeader["ETag"]) };
  try {
    for (const json& entry : answer->at("instances")) {
      list.mInstances.push_back(
        { .mId = entry.at("id").get<std::string>(),
          .mRole = entry.at("role").get<std::string>(),
          .mAddress = entry.at("address").get<std::string>(),
          .mPeerAddress = entry.value("peer_address", ""),
          .mDataCentre = data_centre_id(entry.at("data_centre").get<std::string>()),
          .mLeaving = entry.value("state", "live") == "leaving" });
    }
  } catch (const json::exception&) {
    return std::nullopt;
  }
  return list;
}

std::optional<double> Rate(const endpoint& aRating, const request_id& aRequest,
                           const model_id& aModel, const std::string& aKind,
                           const std::string& aAnswer, const call_options& aOptions)
{
  const json body{ { "request_id", aRequest.Value() },
                   { "model", aModel.Value() },
                   { "kind", aKind },
                   { "answer", aAnswer } };
  const net::http_result result = Post(aRating, "/ratings", body, aOptions);
  if (const auto answer = ParseBody(result); answer && result.mStatus == 200 &&
                                             answer->contains("score") &&
                                             answer->at("score").is_number()) {
    return answer->at("score").get<double>();
  }
  return std::nullopt;
}

std::optional<json> GetJson(const endpoint& aServer, const std::string& aPath,
                            const call_options& aOptions)
{
  const net::http_result result = Get(aServer, aPath, aOptions);
  auto answer = ParseBody(result);
  if (!answer || result.mStatus != 200) {
    return std::nullopt;
  }
  return answer;
}

} // namespace tamarackweir::platform
