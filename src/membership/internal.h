#pragma once

#include "membership/membership.h"

namespace tamarackweir::membership::internal {

/// Encoded size of one rumour in a message.
std::size_t RumourBytes(const rumour& aRumour);

/// Merges a rumour into the state; returns whether it is new to this instance.
bool Merge(state& aState, const rumour& aRumour, time_point aNow);

/// Adds rumours to a message within the limits on size and rate. With `aRepair`, also adds rumours
/// that reached their number of sends, because the receiver's digest shows that some are missing
/// there.
void AddRumours(state& aState, gossip_message& aMessage, bool aRepair, time_point aNow);

/// Hash over all rumours except evidence, which changes too often.
std::uint32_t Digest(const state& aState, time_point aNow);

/// Removes the rumours that have reached the retention age.
void Expire(state& aState, time_point aNow);

/// Time since the first instance learned the rumour.
duration AgeOf(const stored_rumour& aHeld, time_point aNow);

} // namespace tamarackweir::membership::internal
