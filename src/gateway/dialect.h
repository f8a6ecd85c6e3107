#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "net/exchange.h"
#include "net/http_server.h"
#include "placement/choose.h"
#include "routing/route_table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarackweir::gateway {

/// What the header of a caller's request says.
struct call_header
{
  std::string mAttempt; ///< the caller's id of this attempt
  std::string mHost;
  std::string mKey;                  ///< API key; empty: none
  std::optional<duration> mTimeLeft; ///< how long the caller waits
  std::optional<std::string> mSession;
  std::optional<std::uint64_t> mLastEvent; ///< the caller has the stream up to this event
  std::vector<placement::prompt_part> mParts;
  std::string mModel;     ///< as the caller named it
  bool mAnyModel = false; ///< the caller leaves the model to the route's sizes
};

/// What a request bears on its way to a backend server.
struct dispatch
{
  server_id mServer;
  duration mTimeLeft = 0s;
  std::optional<account_id> mAccount;
  std::optional<model_id> mModel; ///< in place of the caller's
  std::optional<std::uint64_t> mLastEvent;
  int mUrgency = 5; ///< 0 is the most urgent
};

/// What the header of a backend server's answer says.
struct answer_header
{
  bool mNotRun = false;           ///< the server states that the request did not run there
  bool mWrongServer = false;      ///< another server has the address
  bool mIsMismatched = false;     ///< the answer belongs to another request
  std::optional<int> mConfidence; ///< percent, of the model in its answer
};

/// How a front of the gateway reads and writes headers. Free functions, so that each front brings
/// its own names.
struct dialect
{
  call_header (*mReadCall)(const net::inbound_request&) = nullptr;
  /// Header of the request to the backend server: the caller's without what concerns its connection
  /// or is the gateway's to set, and with the dispatch.
  void (*mWriteCall)(const net::inbound_request&, const dispatch&,
                     net::outbound_request&) = nullptr;
  answer_header (*mReadAnswer)(const net::http::response_header<>&,
                               const std::string& aAttempt) = nullptr;
  /// Header of the answer to the caller: the server's without what concerns its connection.
  void (*mWriteAnswer)(const net::http::response_header<>&,
                       net::http::response_header<>&) = nullptr;
  /// Marks an answer of the gateway's own with the attempt that it answers.
  void (*mMarkRefusal)(const call_header&, net::outbound_answer&) = nullptr;
};

} // namespace tamarackweir::gateway
