#include "base/duty_roster.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <cstdint>

namespace tamarackweir {

namespace {

struct candidate
{
  const roster_entry* mEntry = nullptr;
  bool mIsStrong = false;
  bool mIsFirstOfDataCentre = false; ///< among those of the same strength
  std::uint64_t mWeight = 0;
};

} // namespace

std::vector<std::string> DutyHolders(const duty_roster& aRoster, const std::string& aDuty,
                                     std::size_t aCount, const std::set<std::string>& aSkipped)
{
  constexpr double kStrongPart = 0.5;
  double widest = 0;
  for (const roster_entry& entry : aRoster) {
    widest = std::max(widest, entry.mLinkMbps);
  }
  std::vector<candidate> candidates;
  candidates.reserve(aRoster.size());
  for (const roster_entry& entry : aRoster) {
    if (!aSkipped.contains(entry.mId)) {
      candidates.push_back({ .mEntry = &entry,
                             .mIsStrong = entry.mLinkMbps >= widest * kStrongPart,
                             .mWeight = DutyWeight(aDuty, entry.mId) });
    }
  }
  std::sort(candidates.begin(), candidates.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mIsStrong != aRight.mIsStrong ? aLeft.mIsStrong : aLeft.mWeight > aRight.mWeight;
  });
  std::set<std::pair<bool, std::string>> covered;
  for (candidate& entry : candidates) {
    entry.mIsFirstOfDataCentre =
      covered.insert({ entry.mIsStrong, entry.mEntry->mDataCentre }).second;
  }
  std::stable_sort(candidates.begin(), candidates.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mIsStrong != aRight.mIsStrong
             ? aLeft.mIsStrong
             : aLeft.mIsFirstOfDataCentre > aRight.mIsFirstOfDataCentre;
  });
  std::vector<std::string> holders;
  for (const candidate& entry : candidates) {
    if (holders.size() == aCount) {
      break;
    }
    holders.push_back(entry.mEntry->mId);
  }
  return holders;
}

} // namespace tamarackweir
