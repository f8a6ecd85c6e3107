#pragma once

#include "control/requests.h"
#include "peer/message.h"
#include "platform/table.h"
#include "rollout/rollout.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tamarackweir::control {

/// Identity of a waiting request event.
using ticket = strong_type<struct ticket_tag, std::uint64_t>;

/// Which slice awaits the result of a platform operation.
enum class slice
{
  SettingsHead,
  SettingsContent,
  SettingsAcceptance,
  SettingsHistory,
  Claims,
  Billing,
  Capacity,
  Quarantine,
  QuarantineRerun,
  Rollout,
};

/// A platform operation and who awaits its result.
struct operation
{
  slice mSlice = slice::Claims;
  std::uint64_t mNumber = 0; ///< the slice's own number, or a ticket
  std::string mSubject;      ///< a server, revision or roll-out, as the slice needs it
};

/// Commit a transaction in the table.
struct table_commit
{
  operation mOperation;
  platform::transaction mTransaction;
  time_point mSentAt{};
};

/// Read rows of the table.
struct table_read
{
  operation mOperation;
  platform::read_request mRequest;
  time_point mSentAt{};
};

/// Write an object.
struct object_write
{
  billing::operation_id mOperation;
  std::string mKey;
  std::string mBody;
};

/// Send parts to a peer.
struct peer_send
{
  instance_id mTo;
  std::string mAddress;
  std::vector<peer::part> mParts;
};

/// Answer a waiting request event.
struct reply
{
  ticket mTicket;
  request_reply mReply;
};

/// Send an order to an engine.
struct engine_order
{
  std::string mAddress;
  rollout::engine_order mOrder;
  time_point mValidUntil{};
};

/// Read a backend server's load report.
struct load_fetch
{
  server_id mServer;
  std::string mAddress;
};

/// What the shell does after an event.
struct effects
{
  std::vector<table_commit> mCommits;
  std::vector<table_read> mReads;
  std::vector<object_write> mObjects;
  std::vector<peer_send> mSends;
  std::vector<reply> mReplies;
  std::vector<engine_order> mOrders;
  std::vector<load_fetch> mLoadFetches;
  bool mSettingsChanged = false; ///< publish the new snapshot to the request threads
};

} // namespace tamarackweir::control
