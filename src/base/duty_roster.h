#pragma once

#include <set>
#include <string>
#include <vector>

namespace tamarackweir {

/// An instance as a candidate for duties that a few instances have for all others.
struct roster_entry
{
  std::string mId;
  std::string mDataCentre;
  double mLinkMbps = 0; ///< bandwidth of its machine's link; 0: not known
};

using duty_roster = std::vector<roster_entry>;

/// The first `aCount` instances for a duty, by rendezvous hashing; all instances with the same
/// roster find the same ones.
///
/// A duty costs its holder far more messages than the others, so instances with less than half of
/// the widest link come last. Among equals, holders are in different data centres as far as
/// possible. \param aSkipped instances that can't have the duty now
std::vector<std::string> DutyHolders(const duty_roster& aRoster, const std::string& aDuty,
                                     std::size_t aCount,
                                     const std::set<std::string>& aSkipped = {});

} // namespace tamarackweir
