#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace tamarackweir::entry {

/// A chat request of a caller, checked.
struct chat_request
{
  std::string mModel; ///< a model, "model@version" or a cascade
  bool mStream = false;
  std::string mKind;    ///< kind of request for cascade estimates: `metadata.kind`, or "chat"
  nlohmann::json mBody; ///< the whole request, passed on with `model` replaced
};

/// Parses the body of `POST /v1/chat/completions`.
///
/// Throws `error` of kind `InvalidInput` for bad UTF-8, bad JSON, a missing or wrong member, an
/// empty message list or a text of more than `aMaximumBytes`. Members that the router does not know
/// are passed on to the engine.
chat_request ParseChatRequest(const std::string& aBody, std::size_t aMaximumBytes);

/// The text that the engine sees, used for fingerprints and for prefix affinity: roles and contents
/// in order.
std::string PromptText(const chat_request& aRequest);

} // namespace tamarackweir::entry
