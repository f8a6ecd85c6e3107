#include "entry/http_support.h"

#include "base/digest.h"
#include "base/error.h"

namespace tamarackweir::entry {

namespace {

/// Connections that wait to be accepted; an instance at the design size holds 844 streams.
constexpr int kListenBacklog = 1024;

} // namespace

void Answer(httplib::Response& aResponse, const problem& aProblem)
{
  aResponse.status = aProblem.mStatus;
  if (aProblem.mRetryAfter) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*aProblem.mRetryAfter).count();
    aResponse.set_header("Retry-After", std::to_string(std::max<std::int64_t>(1, seconds)));
  }
  aResponse.set_content(ToJson(aProblem), "application/problem+json");
}

void AnswerJson(httplib::Response& aResponse, const nlohmann::json& aBody)
{
  aResponse.set_content(aBody.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                        "application/json");
}

std::optional<std::string> BearerDigest(const httplib::Request& aRequest)
{
  constexpr std::string_view kScheme = "Bearer ";
  const std::string value = aRequest.get_header_value("Authorization");
  if (!value.starts_with(kScheme) || value.size() == kScheme.size()) {
    return std::nullopt;
  }
  return Sha256Hex(std::string_view(value).substr(kScheme.size()));
}

std::thread Serve(httplib::Server& aServer, const platform::endpoint& aAddress,
                  const std::string& aSetting)
{
  const auto listener = std::make_shared<socket_t>(INVALID_SOCKET);
  aServer.set_socket_options([listener](socket_t aSocket) {
    // The library's default sets SO_REUSEPORT, with which a second process takes a part of the
    // connections unnoticed.
    const int on = 1;
    setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    *listener = aSocket;
  });
  if (!aServer.bind_to_port(aAddress.mHost, aAddress.mPort)) {
    throw error(
      error_kind::Unavailable, "the address " + platform::ToString(aAddress) + " can't be bound",
      "stop the process that uses it, or change '" + aSetting + "' in the instance settings");
  }
  // The library listens with a backlog of 5, which a burst of connections overflows; a second call
  // of listen() sets another.
  listen(*listener, kListenBacklog);
  return std::thread([&aServer] { aServer.listen_after_bind(); });
}

problem NotRun(int aStatus, const std::string& aType, const std::string& aTitle,
               const std::string& aDetail)
{
  return { .mStatus = aStatus,
           .mType = aType,
           .mTitle = aTitle,
           .mDetail = aDetail,
           .mOutcome = outcome::NotRun,
           .mRetryAfter = {} };
}

} // namespace tamarackweir::entry
