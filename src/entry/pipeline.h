#pragma once

#include "entry/chat_request.h"
#include "entry/runtime.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace tamarackweir::entry {

/// A chat request as it arrived, after authentication and parsing.
struct chat_input
{
  account_id mAccount;
  chat_request mRequest;
  std::string mIdempotencyKey; ///< or empty
  std::string mSession;        ///< text of the session header, or empty
  std::string mTraceParent;    ///< or empty
  std::optional<duration> mDeadline;
};

/// A whole answer that is not streamed.
struct plain_answer
{
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
};

/// Where a streamed answer goes. Each function returns false if the caller has left.
struct stream_sink
{
  /// Called once, before any event.
  std::function<bool(const std::map<std::string, std::string>& aHeaders)> mStart;
  /// Sends one event's data.
  std::function<bool(const std::string& aData)> mEvent;
};

/// How a chat request ended.
struct chat_result
{
  /// The answer of a request that is not streamed, or the refusal of any request before its first
  /// event. Nothing for a stream that has begun.
  std::variant<std::monostate, plain_answer, problem> mAnswer;
  std::string mTraceId;
};

/// Runs a chat request: plan, attempts with retry and resume, escalation, billing. Blocks until the
/// answer is whole. \param aSink where events go if the request asks for a stream
chat_result RunChat(const runtime& aRuntime, const chat_input& aInput, const stream_sink& aSink);

} // namespace tamarackweir::entry
