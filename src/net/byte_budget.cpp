#include "net/byte_budget.h"

namespace tamarackweir::net {

bool GiveUpLargest(byte_budget& aBudget, std::size_t aBytes)
{
  byte_holder* largest = nullptr;
  for (byte_holder* const holder : aBudget.mHolders) {
    if (holder->mGiveUp && holder->mBytes > (largest != nullptr ? largest->mBytes : aBytes)) {
      largest = holder;
    }
  }
  if (largest == nullptr) {
    return false;
  }
  aBudget.mUsed -= std::exchange(largest->mBytes, 0);
  largest->mIsGivenUp = true;
  std::exchange(largest->mGiveUp, nullptr)();
  return true;
}

bool byte_claim::TryResize(std::size_t aBytes)
{
  if (mBudget == nullptr) {
    return true;
  }
  const auto isGranted = [&] {
    return aBytes <= mHolder->mBytes ||
           mBudget->mUsed - mHolder->mBytes + aBytes <= mBudget->mLimit;
  };
  if (IsGivenUp() ||
      (!isGranted() && !(aBytes <= mBudget->mLimit && GiveUpLargest(*mBudget, aBytes)))) {
    return false;
  }
  mBudget->mUsed = mBudget->mUsed - mHolder->mBytes + aBytes;
  mHolder->mBytes = aBytes;
  return true;
}

} // namespace tamarackweir::net
