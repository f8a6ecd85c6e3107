#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "net/http_call.h"
#include "net/http_server.h"
#include "placement/choose.h"
#include "routing/route_table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarackweir::gateway {

/// Values parsed from the header of a caller's request.
struct call_header
{
  std::string mAttempt; ///< the caller's id of this attempt
  std::string mHost;
  std::string mKey;                  ///< API key; empty: none
  std::optional<duration> mTimeLeft; ///< until the caller's deadline
  std::optional<std::string> mSession;
  std::optional<std::uint64_t> mLastEvent; ///< the last event that the caller has received
  std::vector<placement::prompt_part> mParts;
  std::string mModel;     ///< as named by the caller
  bool mAnyModel = false; ///< the gateway may choose among the route's models
};

/// Values that the gateway adds to a request to a backend server.
struct dispatch
{
  server_id mServer;
  duration mTimeLeft = 0s;
  std::optional<account_id> mAccount;
  std::optional<model_id> mModel; ///< replaces the caller's
  std::optional<std::uint64_t> mLastEvent;
  int mUrgency = 5; ///< 0 is the most urgent
};

/// Values parsed from the header of a backend server's answer.
struct answer_header
{
  bool mNotRun = false;           ///< the server states that it did not run the request
  bool mWrongServer = false;      ///< another server now uses the address
  bool mIsMismatched = false;     ///< the answer belongs to another request
  bool mIsSealed = false;         ///< a server made the answer by running the request
  bool mIsLeaving = false;        ///< the server states that it leaves
  std::optional<duration> mWait;  ///< for which the server wants nothing from this instance
  std::optional<int> mConfidence; ///< the model's confidence in its answer, in percent
};

/// What a backend server states of itself when it is asked.
struct server_statement
{
  bool mIsWrongServer = false; ///< another server now uses the address
  std::optional<server_id> mServer;
  std::int64_t mStartId = 0; ///< changes on each start; 0: not given
};

/// How a front end of the gateway reads and writes headers. Function pointers, so that each front
/// end can use its own header names.
struct dialect
{
  call_header (*mReadCall)(const net::inbound_request&) = nullptr;
  /// Writes the header of the request to the backend server: the caller's without hop-by-hop fields
  /// and fields that the gateway sets, plus the values of the dispatch.
  void (*mWriteCall)(const net::inbound_request&, const dispatch&, net::http::fields&) = nullptr;
  answer_header (*mReadAnswer)(const net::http::response_header<>&,
                               const std::string& aAttempt) = nullptr;
  /// Writes the header of the answer to the caller: the server's without hop-by-hop fields.
  void (*mWriteAnswer)(const net::http::response_header<>&,
                       net::http::response_header<>&) = nullptr;
  /// Addresses a call to one server, as its address may be another's by now.
  void (*mWriteQuestion)(const server_id&, net::http_call&) = nullptr;
  /// Reads the answer to `routing::service::mStatementTarget`.
  server_statement (*mReadStatement)(const net::http_result&) = nullptr;
  /// Adds the attempt's id to an answer that the gateway generates itself.
  void (*mMarkRefusal)(const call_header&, net::outbound_answer&) = nullptr;
};

} // namespace tamarackweir::gateway
