#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace tamarackweir::standins {

/// What a chat completion asks for, as far as the engine uses it.
struct chat_request
{
  std::string mVersion; ///< "model@version"
  std::string mLastUserMessage;
  std::size_t mPromptTokens = 0; ///< words of all messages
  std::size_t mMaxTokens = 0;    ///< 0: no limit
  bool mStream = false;
  bool mIncludeUsage = false;
};

/// Reads OpenAI's request document. Throws `error` of kind `InvalidInput`.
chat_request ParseChat(const nlohmann::json& aBody);

/// The answer's tokens, a function of version and last user message only, so that every server of
/// the version resumes the same text. The first token of a bad answer is "bad".
///
/// \param aBadShare share of messages, 0 to 1, that get a bad answer
std::vector<std::string> AnswerTokens(const chat_request& aRequest, std::size_t aTokens,
                                      double aBadShare);

/// The plain answer document. `aWanted` is the token count without the request's limit.
nlohmann::json PlainAnswer(const chat_request& aRequest, const std::string& aRequestId,
                           const std::vector<std::string>& aTokens, std::size_t aWanted);

/// The server-sent events of a streamed answer: one per token, then the finish reason, the usage
/// in a chunk of its own where the request asks for it (else beside the finish reason), and
/// `[DONE]`. Ids count from 0.
std::vector<std::string> StreamEvents(const chat_request& aRequest, const std::string& aRequestId,
                                      const std::vector<std::string>& aTokens, std::size_t aWanted);

} // namespace tamarackweir::standins
