#include "entry/chat_request.h"

#include "base/error.h"

namespace tamarackweir::entry {

using nlohmann::json;

namespace {

[[noreturn]] void Fail(const std::string& aWhat, const std::string& aRemedy)
{
  throw error(error_kind::InvalidInput, aWhat, aRemedy);
}

void CheckMessages(const json& aMessages)
{
  if (!aMessages.is_array() || aMessages.empty()) {
    Fail("'messages' is not a list with at least one message",
         "send the conversation in 'messages'");
  }
  for (std::size_t i = 0; i < aMessages.size(); ++i) {
    const json& message = aMessages[i];
    if (!message.is_object() || !message.contains("role") || !message.at("role").is_string() ||
        !message.contains("content")) {
      Fail("message " + std::to_string(i) + " has no role or no content",
           "give each message a 'role' and a 'content'");
    }
  }
}

} // namespace

chat_request ParseChatRequest(const std::string& aBody, std::size_t aMaximumBytes)
{
  if (aBody.size() > aMaximumBytes) {
    Fail("the request has " + std::to_string(aBody.size()) + " bytes, more than the limit of " +
           std::to_string(aMaximumBytes),
         "shorten the conversation");
  }
  json body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    Fail("the body is not a JSON object in UTF-8", "send a chat completion request");
  }
  if (!body.contains("model") || !body.at("model").is_string()) {
    Fail("'model' is missing or not a text",
         "name a model, a version (model@version) or a cascade");
  }
  if (body.contains("stream") && !body.at("stream").is_boolean()) {
    Fail("'stream' is " + body.at("stream").dump(), "write true or false");
  }
  CheckMessages(body.value("messages", json()));
  chat_request request{ .mModel = body.at("model").get<std::string>(),
                        .mStream = body.value("stream", false),
                        .mKind = "chat",
                        .mBody = {} };
  if (const auto metadata = body.find("metadata");
      metadata != body.end() && metadata->is_object()) {
    if (const auto kind = metadata->find("kind"); kind != metadata->end() && kind->is_string()) {
      request.mKind = kind->get<std::string>();
    }
  }
  request.mBody = std::move(body);
  return request;
}

std::string PromptText(const chat_request& aRequest)
{
  std::string text;
  for (const json& message : aRequest.mBody.at("messages")) {
    text += message.at("role").get<std::string>() + "\x1f" + message.at("content").dump() + "\x1e";
  }
  return text;
}

} // namespace tamarackweir::entry
