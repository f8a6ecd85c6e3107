#pragma once

#include "control/state.h"
#include "entry/runtime.h"
#include "platform/http_clients.h"

#include <caf/all.hpp>
#include <memory>

namespace tamarackweir::entry {

/// Messages between the actors of one process. Contents are shared and never changed after sending.
struct request_message
{
  std::shared_ptr<const control::request_event> mEvent;
};

struct reply_message
{
  std::shared_ptr<const control::request_reply> mReply;
};

/// A message of another instance arrived.
struct peer_message
{
  std::shared_ptr<const peer::message> mMessage;
};

/// Send these bytes to a peer.
struct send_message
{
  std::string mAddress;
  std::shared_ptr<const std::string> mBytes;
};

struct commit_message
{
  std::shared_ptr<const control::table_commit> mCommit;
};

struct committed_message
{
  std::shared_ptr<const control::table_commit> mCommit;
  platform::commit_result mResult;
};

struct read_message
{
  std::shared_ptr<const control::table_read> mRead;
};

struct rows_message
{
  std::shared_ptr<const control::table_read> mRead;
  platform::read_result mResult;
};

struct object_message
{
  std::shared_ptr<const control::object_write> mWrite;
};

struct stored_message
{
  billing::operation_id mOperation;
  billing::object_status mStatus = billing::object_status::Unknown;
};

/// Read the platform's instance list.
struct list_message
{};

struct listed_message
{
  std::shared_ptr<const std::vector<membership::listed_instance>>
    mList; ///< null if it has not changed or gave no answer
};

/// Read a backend server's load report.
struct load_message
{
  server_id mServer;
  std::string mAddress;
};

struct loaded_message
{
  std::shared_ptr<const control::load_answer> mLoad;
};

struct order_message
{
  std::shared_ptr<const control::engine_order> mOrder;
};

struct rating_message
{
  std::shared_ptr<const rating_job> mJob;
};

/// Use the session keys of the key file from now on.
struct keys_message
{
  std::shared_ptr<const sessions::key_ring> mKeys;
};

/// Do the periodic work, if no tick was scheduled after this one.
struct tick_message
{
  std::uint64_t mNumber = 0;
};

} // namespace tamarackweir::entry

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tamarackweir::entry::request_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tamarackweir::entry::reply_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tamarackweir::entry::peer_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tamarackweir::entry::send_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tamarackweir::entry::commit_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tamarackweir::entry::committed_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tamarackweir::entry::read_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tamarackweir::entry::rows_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tamarackweir::entry::object_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tamarackweir::entry::stored_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tamarackweir::entry::list_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tamarackweir::entry::listed_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tamarackweir::entry::load_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tamarackweir::entry::loaded_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tamarackweir::entry::order_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tamarackweir::entry::rating_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tamarackweir::entry::keys_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tamarackweir::entry::tick_message)
