#pragma once

#include "net/loop.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <utility>

namespace tamarackweir::net {

/// One user of a budget.
struct byte_holder
{
  std::size_t mBytes = 0;
  time_point mSince{};           ///< since when it has held any
  std::function<void()> mGiveUp; ///< releases the bytes at once; empty: they must be kept
  bool mIsGivenUp = false;
};

/// Bytes that all holders together may keep in memory. Used on the event loop only.
struct byte_budget
{
  std::size_t mLimit = 0;
  std::size_t mReserve = 0; ///< of the limit, for claims of at most `mSmallBytes`
  std::size_t mSmallBytes = 0;
  std::size_t mUsed = 0;
  std::set<byte_holder*> mHolders;
};

/// Releases the bytes of the holder with the highest cost that can be interrupted, if it is above
/// the cost of `aBytes` held since `aSince`. The cost is bytes times the time that they were held:
/// it is highest for those that are large or slow. Returns false if there is none.
bool GiveUpCostliest(byte_budget& aBudget, std::size_t aBytes, time_point aSince, time_point aNow);

/// What one holder uses of a budget; returned when the claim is destroyed. Without a budget a claim
/// is never refused.
class byte_claim
{
public:
  byte_claim() = default;
  explicit byte_claim(std::shared_ptr<byte_budget> aBudget)
    : mBudget(std::move(aBudget))
    , mHolder(std::make_unique<byte_holder>())
  {
    mBudget->mHolders.insert(mHolder.get());
  }
  byte_claim(byte_claim&& aOther) noexcept = default;
  byte_claim& operator=(byte_claim&& aOther) noexcept
  {
    std::swap(mBudget, aOther.mBudget);
    std::swap(mHolder, aOther.mHolder);
    return *this;
  }
  byte_claim(const byte_claim&) = delete;
  byte_claim& operator=(const byte_claim&) = delete;
  ~byte_claim()
  {
    if (mBudget != nullptr) {
      mBudget->mUsed -= mHolder->mBytes;
      mBudget->mHolders.erase(mHolder.get());
    }
  }

  /// Changes the claim to `aBytes`; a smaller claim is always granted. When the budget is short the
  /// costliest holders give way, because a small message is more likely to end than a large one.
  /// Returns false, and leaves the claim as it is, if the claim itself would be the costliest.
  /// Without `aNow` the time held does not count.
  bool TryResize(std::size_t aBytes, time_point aNow = {});

  /// Whether the claim can be changed to `aBytes` without another one giving way.
  bool Fits(std::size_t aBytes) const;

  /// Sets what releases the bytes when this claim gives way; with null it never does.
  void OnGiveWay(std::function<void()> aGiveUp)
  {
    if (mHolder != nullptr) {
      mHolder->mGiveUp = std::move(aGiveUp);
    }
  }
  /// Whether the claim has given way; it is never granted again.
  bool IsGivenUp() const { return mHolder != nullptr && mHolder->mIsGivenUp; }

  std::size_t Bytes() const { return mHolder != nullptr ? mHolder->mBytes : 0; }

private:
  std::shared_ptr<byte_budget> mBudget;
  std::unique_ptr<byte_holder> mHolder; ///< null without a budget
};

/// While it exists, a claim gives way; `aClaim` may be null.
class way_giver
{
public:
  way_giver(byte_claim* aClaim, std::function<void()> aGiveUp)
    : mClaim(aClaim)
  {
    if (mClaim != nullptr) {
      mClaim->OnGiveWay(std::move(aGiveUp));
    }
  }
  way_giver(const way_giver&) = delete;
  way_giver& operator=(const way_giver&) = delete;
  ~way_giver()
  {
    if (mClaim != nullptr) {
      mClaim->OnGiveWay(nullptr);
    }
  }

private:
  byte_claim* mClaim;
};

} // namespace tamarackweir::net
