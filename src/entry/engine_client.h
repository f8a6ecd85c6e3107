#pragma once

#include "base/ids.h"
#include "entry/trace.h"
#include "platform/endpoint.h"
#include "relay/sse.h"

#include <functional>
#include <map>
#include <string>

namespace tamarackweir::entry {

/// One call to a backend server.
struct backend_call
{
  platform::endpoint mServer;
  std::string mPath;
  std::string mBody;
  std::map<std::string, std::string> mHeaders;
  duration mConnectTimeout = 500ms;
  duration mReadTimeout = 30s; ///< longest wait between two pieces of the answer
  duration mLimit = 60s;       ///< from the connect to the last byte of the answer
};

/// Largest body in bytes of an answer that is not a stream. A longer one is `Broken`.
inline constexpr std::size_t kMaxAnswerBytes = std::size_t{ 16 } << 20U;

/// How a call to a backend server ended.
enum class call_end
{
  Complete,  ///< the whole answer arrived
  NotSent,   ///< no connection was made, so no byte of the request left
  Refused,   ///< the server refused before it began (503 with outcome `not_run`)
  Rejected,  ///< the server answered with another error status
  Broken,    ///< the connection broke after bytes may have left
  Cancelled, ///< the receiver asked to stop
};

/// The result of a call: `mStatus` and `mBody` are set where a whole answer that is not a stream
/// arrived.
struct call_result
{
  call_end mEnd = call_end::NotSent;
  int mStatus = 0;
  std::string mBody;
};

/// Whether a call that broke did so because its wait for the next piece ran out. Timers have a
/// grain of a millisecond.
/// \param aSilence since the last piece of the answer, or since the call was sent
bool IsTimeout(call_end aEnd, duration aSilence, duration aReadTimeout);

/// Takes an event of a stream; returns false to cancel the call.
using event_receiver = std::function<bool(const relay::sse_event&)>;

/// Calls a streaming engine. A stream without the final `[DONE]` event is `Broken`, and an answer
/// whose `Tamarackweir-Request` header names another request is `Rejected`.
call_result CallStreaming(const backend_call& aCall, const request_id& aRequest,
                          const event_receiver& aOnEvent);

/// Calls a plain service and waits for the whole answer. One that only the end of its connection
/// ends is `Broken`, because nothing tells it from an answer whose service has ended.
call_result CallPlain(const backend_call& aCall);

} // namespace tamarackweir::entry
