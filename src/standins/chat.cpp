#include "standins/chat.h"

#include "base/digest.h"
#include "base/error.h"

#include <array>
#include <sstream>

namespace tamarackweir::standins {

namespace {

using json = nlohmann::json;

[[noreturn]] void Refuse(const std::string& aWhat, const std::string& aRemedy)
{
  throw error(error_kind::InvalidInput, aWhat, aRemedy);
}

/// The text of a message's content: a string, or the text parts of an array.
std::string ContentText(const json& aMessage)
{
  const json content = aMessage.value("content", json());
  if (content.is_string()) {
    return content;
  }
  std::string text;
  if (content.is_array()) {
    for (const json& part : content) {
      text += part.value("text", "");
    }
  }
  return text;
}

std::size_t CountWords(const std::string& aText)
{
  std::istringstream in(aText);
  std::string word;
  std::size_t count = 0;
  while (in >> word) {
    ++count;
  }
  return count;
}

std::string AnswerId(const chat_request& aRequest, const std::string& aRequestId)
{
  return "chatcmpl-" +
         (aRequestId.empty() ? std::to_string(StableHash(aRequest.mLastUserMessage)) : aRequestId);
}

json Usage(const chat_request& aRequest, std::size_t aTokens)
{
  return { { "prompt_tokens", aRequest.mPromptTokens },
           { "completion_tokens", aTokens },
           { "total_tokens", aRequest.mPromptTokens + aTokens } };
}

const char* FinishReason(std::size_t aTokens, std::size_t aWanted)
{
  return aTokens < aWanted ? "length" : "stop";
}

/// Answers are a function of the request, so `created` is a constant.
constexpr int kCreated = 1'700'000'000;

} // namespace

chat_request ParseChat(const json& aBody)
{
  chat_request result;
  if (!aBody.contains("model") || !aBody["model"].is_string() ||
      aBody["model"].get<std::string>().find('@') == std::string::npos) {
    Refuse("member model names no version", "set it to \"model@version\"");
  }
  if (!aBody.contains("messages") || !aBody["messages"].is_array() || aBody["messages"].empty()) {
    Refuse("member messages is absent or empty",
           R"(add "messages": [{"role": "user", "content": "..."}])");
  }
  result.mVersion = aBody["model"];
  for (const json& message : aBody["messages"]) {
    if (!message.is_object()) {
      Refuse("a message is no object", R"(write it as {"role": "user", "content": "..."})");
    }
    const std::string text = ContentText(message);
    result.mPromptTokens += CountWords(text);
    if (message.value("role", "") == "user") {
      result.mLastUserMessage = text;
    }
  }
  result.mMaxTokens =
    aBody.value("max_completion_tokens", aBody.value("max_tokens", std::size_t{ 0 }));
  result.mStream = aBody.value("stream", false);
  result.mIncludeUsage =
    aBody.value("stream_options", json::object()).value("include_usage", false);
  return result;
}

std::vector<std::string> AnswerTokens(const chat_request& aRequest, std::size_t aTokens,
                                      double aBadShare)
{
  static const std::array<const char*, 8> words{ "seam",  "licence", "lacquer", "depot",
                                                 "piece", "form",    "plan",    "route" };
  const std::uint64_t hash = StableHash(aRequest.mVersion + "|" + aRequest.mLastUserMessage);
  constexpr std::uint64_t kSteps = 1'000'000;
  const bool bad = static_cast<double>(hash % kSteps) < aBadShare * static_cast<double>(kSteps);
  std::vector<std::string> tokens;
  for (std::size_t index = 0; index < aTokens; ++index) {
    const std::uint64_t next = StableHash(std::to_string(index), hash);
    tokens.push_back(index > 0 ? std::string(" ") + words.at(next % words.size()) +
                                   std::to_string(next / words.size() % 100)
                     : bad ? std::string("bad")
                           : aRequest.mVersion + ":" + std::to_string(hash % 10'000));
  }
  if (aRequest.mMaxTokens != 0 && aRequest.mMaxTokens < tokens.size()) {
    tokens.resize(aRequest.mMaxTokens);
  }
  return tokens;
}

json PlainAnswer(const chat_request& aRequest, const std::string& aRequestId,
                 const std::vector<std::string>& aTokens, std::size_t aWanted)
{
  std::string text;
  for (const std::string& token : aTokens) {
    text += token;
  }
  return { { "id", AnswerId(aRequest, aRequestId) },
           { "object", "chat.completion" },
           { "created", kCreated },
           { "model", aRequest.mVersion },
           { "choices",
             { { { "index", 0 },
                 { "message", { { "role", "assistant" }, { "content", text } } },
                 { "finish_reason", FinishReason(aTokens.size(), aWanted) } } } },
           { "usage", Usage(aRequest, aTokens.size()) } };
}

std::vector<std::string> StreamEvents(const chat_request& aRequest, const std::string& aRequestId,
                                      const std::vector<std::string>& aTokens, std::size_t aWanted)
{
  std::vector<std::string> events;
  const auto add = [&events](const std::string& aData) {
    events.push_back("id: " + std::to_string(events.size()) + "\ndata: " + aData + "\n\n");
  };
  json chunk{
    { "id", AnswerId(aRequest, aRequestId) },
    { "object", "chat.completion.chunk" },
    { "created", kCreated },
    { "model", aRequest.mVersion },
    { "choices", { { { "index", 0 }, { "delta", json::object() }, { "finish_reason", nullptr } } } }
  };
  json& choice = chunk["choices"][0];
  for (const std::string& token : aTokens) {
    choice["delta"] = { { "content", token } };
    if (events.empty()) {
      choice["delta"]["role"] = "assistant";
    }
    add(chunk.dump());
  }
  choice["delta"] = json::object();
  choice["finish_reason"] = FinishReason(aTokens.size(), aWanted);
  if (!aRequest.mIncludeUsage) {
    chunk["usage"] = Usage(aRequest, aTokens.size());
  }
  add(chunk.dump());
  if (aRequest.mIncludeUsage) {
    chunk["choices"] = json::array();
    chunk["usage"] = Usage(aRequest, aTokens.size());
    add(chunk.dump());
  }
  add("[DONE]");
  return events;
}

} // namespace tamarackweir::standins
