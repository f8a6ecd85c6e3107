#include "net/byte_budget.h"

#include <algorithm>

namespace tamarackweir::net {

namespace {

/// Added to the time held, so that of new holders the largest is the costliest.
constexpr duration kLeastHeld = 1ms;

double CostOf(std::size_t aBytes, time_point aSince, time_point aNow)
{
  const std::chrono::duration<double> held = std::max(aNow - aSince, duration::zero()) + kLeastHeld;
  return static_cast<double>(aBytes) * held.count();
}

std::size_t LimitFor(const byte_budget& aBudget, std::size_t aBytes)
{
  return aBytes > aBudget.mSmallBytes ? aBudget.mLimit - aBudget.mReserve : aBudget.mLimit;
}

} // namespace

bool GiveUpCostliest(byte_budget& aBudget, std::size_t aBytes, time_point aSince, time_point aNow)
{
  byte_holder* costliest = nullptr;
  double highest = CostOf(aBytes, aSince, aNow);
  for (byte_holder* const holder : aBudget.mHolders) {
    const double cost = CostOf(holder->mBytes, holder->mSince, aNow);
    if (holder->mGiveUp && cost > highest) {
      costliest = holder;
      highest = cost;
    }
  }
  if (costliest == nullptr) {
    return false;
  }
  aBudget.mUsed -= std::exchange(costliest->mBytes, 0);
  costliest->mIsGivenUp = true;
  std::exchange(costliest->mGiveUp, nullptr)();
  return true;
}

bool byte_claim::Fits(std::size_t aBytes) const
{
  if (mBudget == nullptr || aBytes <= mHolder->mBytes) {
    return true;
  }
  return mBudget->mUsed - mHolder->mBytes + aBytes <= LimitFor(*mBudget, aBytes);
}

bool byte_claim::TryResize(std::size_t aBytes, time_point aNow)
{
  if (mBudget == nullptr) {
    return true;
  }
  const time_point since = mHolder->mBytes > 0 ? mHolder->mSince : aNow;
  while (!IsGivenUp() && !Fits(aBytes)) {
    if (aBytes > LimitFor(*mBudget, aBytes) || !GiveUpCostliest(*mBudget, aBytes, since, aNow)) {
      return false;
    }
  }
  if (IsGivenUp()) {
    return false;
  }
  mBudget->mUsed = mBudget->mUsed - mHolder->mBytes + aBytes;
  mHolder->mBytes = aBytes;
  mHolder->mSince = since;
  return true;
}

} // namespace tamarackweir::net
