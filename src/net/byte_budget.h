#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace tamarackweir::net {

/// Bytes that all holders together may keep in memory. Used on the event loop only.
struct byte_budget
{
  std::size_t mLimit = 0;
  std::size_t mUsed = 0;
};

/// What one holder uses of a budget; returned when the claim is destroyed. Without a budget a claim
/// is never refused.
class byte_claim
{
public:
  byte_claim() = default;
  explicit byte_claim(std::shared_ptr<byte_budget> aBudget)
    : mBudget(std::move(aBudget))
  {
  }
  byte_claim(byte_claim&& aOther) noexcept
    : mBudget(std::move(aOther.mBudget))
    , mBytes(std::exchange(aOther.mBytes, 0))
  {
  }
  byte_claim& operator=(byte_claim&& aOther) noexcept
  {
    std::swap(mBudget, aOther.mBudget);
    std::swap(mBytes, aOther.mBytes);
    return *this;
  }
  byte_claim(const byte_claim&) = delete;
  byte_claim& operator=(const byte_claim&) = delete;
  ~byte_claim() { (void)TryResize(0); }

  /// Changes the claim to `aBytes`. Returns false, and changes nothing, if that is more than the
  /// budget has left; a smaller claim is always granted.
  bool TryResize(std::size_t aBytes)
  {
    if (mBudget == nullptr) {
      return true;
    }
    const std::size_t others = mBudget->mUsed - mBytes;
    if (aBytes > mBytes && others + aBytes > mBudget->mLimit) {
      return false;
    }
    mBudget->mUsed = others + aBytes;
    mBytes = aBytes;
    return true;
  }

  std::size_t Bytes() const { return mBytes; }

private:
  std::shared_ptr<byte_budget> mBudget;
  std::size_t mBytes = 0;
};

} // namespace tamarackweir::net
