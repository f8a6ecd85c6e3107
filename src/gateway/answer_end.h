#pragma once

#include "gateway/call.h"

#include <cstdint>
#include <optional>

namespace tamarackweir::gateway {

/// How one run of a stream ended.
struct stream_end
{
  bool mIsCertain = false;      ///< not only the connection has ended, see `IsEndCertain`
  bool mIsContinuation = false; ///< the run was asked to go on after an event
  bool mHasEvents = false;      ///< it brought events that the caller did not have
  std::optional<std::uint64_t> mLastEvent; ///< that the caller has now
};

/// Ends of runs that did not suffice to end a stream.
struct doubted_end
{
  bool mIsSet = false;
  std::optional<std::uint64_t> mLastEvent;
};

/// Whether a stream is whole after a run that ended in order. If it is not known to be, records the
/// end, so that a further run that ends after the same event confirms it.
///
/// A server that has lost the stream may answer a continuation with none, so that an end without a
/// new event needs a second run that ends there.
bool ConfirmStreamEnd(doubted_end& aDoubted, const stream_end& aEnd);

/// Whether the end of the answer's connection is the end of the answer.
///
/// A process that ends closes its connections in order, as if their answers were whole. For a body
/// that has no other end, its server is therefore asked which one it is: an answer shows that the
/// same start of it has outlived the body.
net::task<bool> IsEndCertain(gateway_state& aState, const call& aCall,
                             const attempt_outcome& aOutcome);

/// Reports an answer that was given up because the memory for answers is short; does nothing for
/// other failures.
void LogGivenUp(gateway_state& aState, const call& aCall, const attempt_outcome& aOutcome);

} // namespace tamarackweir::gateway
