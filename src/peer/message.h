#pragma once

#include "billing/billing.h"
#include "capacity/capacity.h"
#include "membership/membership.h"
#include "quarantine/quarantine.h"
#include "settings/propagation.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tamarackweir::peer {

/// Asks for the tree of a revision.
struct revision_fetch
{
  revision mRevision;
  revision mHeld; ///< what the requester holds; the answer may be a patch to it
};

/// The tree of a revision, or the way to it.
struct revision_content
{
  revision mRevision;
  revision
    mBase; ///< 0: `mContent` is the tree; else a JSON patch (RFC 6902) to this revision's tree
  std::string mContent; ///< JSON; empty if the sender does not hold the revision
};

/// One part of a message; the slice that owns the type interprets it.
using part = std::variant<membership::gossip_message, settings::revision_gossip, revision_fetch,
                          revision_content, billing::copy_batch, billing::copy_ack,
                          capacity::credit_ask, capacity::credit_answer, capacity::credit_release,
                          capacity::credit_release_ack, quarantine::report, quarantine::report_ack>;

/// A message between two instances. Parts that leave together share one header.
struct message
{
  instance_id mSender;
  start_epoch mEpoch;
  std::string mReplyTo; ///< peer address of the sender, "IPv4:port"
  std::vector<part> mParts;
};

/// Encodes a message with an HMAC under `aKey`.
std::string Seal(const message& aMessage, std::string_view aKey);

/// Decodes a message and checks its HMAC. Throws `error` of kind `NotAllowed` for a wrong HMAC and
/// `InvalidInput` for malformed bytes.
message Open(std::string_view aBytes, std::string_view aKey);

} // namespace tamarackweir::peer
