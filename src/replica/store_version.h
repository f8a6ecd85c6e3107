#pragma once

#include "base/strong_type.h"

#include <compare>
#include <cstdint>
#include <ostream>

namespace tamarackweir::replica {

/// Counts how often the store came back from an older copy; 0: the store does not tell.
using store_era = strong_type<struct store_era_tag, std::uint64_t>;

/// Position in the store's order of transactions. Each era gives numbers out again from that of its
/// copy on, so the era decides first.
class store_version
{
public:
  store_version() = default;
  explicit store_version(std::uint64_t aNumber, store_era aEra = store_era(0))
    : mEra(aEra)
    , mNumber(aNumber)
  {
  }

  /// The store's number; 0 before the first transaction. Comparable within an era only.
  std::uint64_t Value() const { return mNumber; }
  store_era Era() const { return mEra; }

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 reports the compiler's comparison with 0
  auto operator<=>(const store_version&) const = default;

  friend std::ostream& operator<<(std::ostream& aOut, const store_version& aVersion)
  {
    return aOut << aVersion.mNumber << " of era " << aVersion.mEra;
  }

private:
  store_era mEra;
  std::uint64_t mNumber = 0;
};

} // namespace tamarackweir::replica
