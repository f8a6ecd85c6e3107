#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace tamarackweir {

/// A value with a type of its own, so that ids and units of different kinds don't mix.
///
/// `Tag` distinguishes the kinds; `Rep` is the stored type. Comparable, hashable and printable;
/// arithmetic happens on `Value()`, where the reader sees it.
template<class Tag, class Rep>
class strong_type
{
public:
  strong_type() = default;
  explicit strong_type(Rep aValue)
    : mValue(std::move(aValue))
  {
  }

  /// The stored value.
  const Rep& Value() const { return mValue; }

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 reports the compiler's comparison with 0
  auto operator<=>(const strong_type&) const = default;

  friend std::ostream& operator<<(std::ostream& aOut, const strong_type& aId)
  {
    return aOut << aId.mValue;
  }

private:
  Rep mValue{};
};

} // namespace tamarackweir

template<class Tag, class Rep>
struct std::hash<tamarackweir::strong_type<Tag, Rep>>
{
  std::size_t operator()(const tamarackweir::strong_type<Tag, Rep>& aId) const noexcept
  {
    return std::hash<Rep>{}(aId.Value());
  }
};
