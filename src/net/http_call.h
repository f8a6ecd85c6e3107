#pragma once

#include "net/exchange.h"

#include <map>
#include <string>

namespace tamarackweir::net {

/// A small call to a service of the deployment: one request, one whole answer.
struct http_call
{
  tcp::endpoint mServer;
  http::verb mMethod = http::verb::get;
  std::string mTarget;
  std::string mBody; ///< empty: none
  std::string mContentType = "application/json";
  std::map<std::string, std::string> mHeader;
  duration mConnectLimit = 500ms; ///< an address that does not answer is down
  duration mLimit = 1s;           ///< from the connect to the last byte
  std::size_t mMaxAnswerBytes = 1U << 24U;
  silence_limits mSilence;
};

struct http_result
{
  error_code mFailure;     ///< set: there is no whole answer
  bool mMayBeDone = false; ///< without an answer: bytes of the call have left
  unsigned mStatus = 0;
  http::fields mHeader;
  std::string mBody;
};

/// Performs a call on a connection of its own.
task<http_result> Perform(asio::any_io_executor aExecutor, http_call aCall);

/// The same in a thread that waits for it.
http_result PerformHere(http_call aCall);

} // namespace tamarackweir::net
