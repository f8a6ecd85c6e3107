#pragma once

#include "settings/tree.h"

#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>
#include <utility>

namespace tamarackweir::settings {

/// The levels of inheritance, from the top down.
enum class level
{
  BuiltIn, ///< set nowhere in the tree
  Defaults,
  Owner,
  Account,
  Target, ///< a model or a cascade of a client account
};

/// The lower-case name of a level.
const char* ToString(level aLevel);

namespace internal {

/// One inheritable key: its JSON name, its members, the lowest level that may set it, its range.
template<class T>
struct key_spec
{
  const char* mName;
  T values::*mValue;
  std::optional<T> overrides::*mOverride;
  level mLowest;
  double mMin = 0;
  double mMax = 0;
};

/// The JSON names of an enumeration's values, in the order of the enumerators.
template<class T>
constexpr std::array<const char*, 0> kNames{};
template<>
inline constexpr std::array kNames<data_centre_state>{ "in", "out" };
template<>
inline constexpr std::array kNames<version_state>{ "active", "leaving", "withdrawn" };
template<>
inline constexpr std::array kNames<rollout_state>{ "running", "halted", "done" };
template<>
inline constexpr std::array kNames<priority>{ "low", "normal", "high" };
template<>
inline constexpr std::array kNames<isolated_behaviour>{ "refuse", "serve_stable" };

/// Calls `aVisitor` with the specification of each inheritable key.
///
/// The buffer of bill records is one per instance, so only the defaults set it. Isolation, records
/// at risk and the retention of claims are one owner's decision, so no client account sets them.
template<class Visitor>
void ForEachKey(Visitor&& aVisitor)
{
  using std::chrono::hours;
  using std::chrono::milliseconds;
  aVisitor(key_spec<quality>{ "quality_target", &values::mQualityTarget, &overrides::mQualityTarget,
                              level::Target, 0, 1 });
  aVisitor(key_spec<milliseconds>{ "deadline_ms", &values::mDeadline, &overrides::mDeadline,
                                   level::Target, 100, 600000 });
  aVisitor(
    key_spec<priority>{ "priority", &values::mPriority, &overrides::mPriority, level::Target });
  aVisitor(key_spec<byte_count>{ "max_request_bytes", &values::mMaxRequestBytes,
                                 &overrides::mMaxRequestBytes, level::Target, 1024, 16777216 });
  aVisitor(key_spec<traffic_share>{ "retry_budget", &values::mRetryBudget, &overrides::mRetryBudget,
                                    level::Target, 0, 1 });
  aVisitor(key_spec<bool>{ "hedge", &values::mHedge, &overrides::mHedge, level::Target });
  aVisitor(key_spec<isolated_behaviour>{ "when_isolated", &values::mWhenIsolated,
                                         &overrides::mWhenIsolated, level::Owner });
  aVisitor(key_spec<hours>{ "claim_retention_h", &values::mClaimRetention,
                            &overrides::mClaimRetention, level::Owner, 1, 8760 });
  aVisitor(key_spec<record_count>{ "bill_buffer_records", &values::mBillBufferRecords,
                                   &overrides::mBillBufferRecords, level::Defaults, 1000, 250000 });
  aVisitor(key_spec<record_count>{ "bill_at_risk_records", &values::mBillAtRiskRecords,
                                   &overrides::mBillAtRiskRecords, level::Owner, 0, 250000 });
  aVisitor(key_spec<bool>{ "prefix_affinity", &values::mPrefixAffinity, &overrides::mPrefixAffinity,
                           level::Target });
}

/// "a number from 0 to 1", without trailing zeros.
std::string DescribeRange(const char* aKind, double aMin, double aMax);

/// The JSON type of a value with its text, for messages; long values are cut.
std::string Describe(const nlohmann::json& aValue);

/// Decodes a number, boolean or enumerator. On failure returns nothing and sets `aExpected` to what
/// would be right.
template<class T>
std::optional<T> Decode(const nlohmann::json& aJson, double aMin, double aMax,
                        std::string& aExpected)
{
  if constexpr (std::is_same_v<T, bool>) {
    if (aJson.is_boolean()) {
      return aJson.get<bool>();
    }
    aExpected = "true or false";
  } else if constexpr (std::is_enum_v<T>) {
    const auto& names = kNames<T>;
    for (std::size_t i = 0; i < names.size(); ++i) {
      if (aJson.is_string() && aJson.get_ref<const std::string&>() == names[i]) {
        return static_cast<T>(i);
      }
      aExpected += (i == 0 ? "\"" : i + 1 == names.size() ? " or \"" : ", \"");
      aExpected += std::string(names[i]) + "\"";
    }
  } else {
    using rep = std::remove_cvref_t<decltype([](const T& aValue) {
      if constexpr (requires { aValue.Value(); }) {
        return aValue.Value();
      } else {
        return aValue.count();
      }
    }(std::declval<T>()))>;
    constexpr bool kIsReal = std::is_floating_point_v<rep>;
    // The range is checked on the double, so that no conversion to a narrower type overflows.
    if ((kIsReal ? aJson.is_number() : aJson.is_number_integer()) && aJson.get<double>() >= aMin &&
        aJson.get<double>() <= aMax) {
      return T(aJson.get<rep>());
    }
    aExpected = DescribeRange(kIsReal ? "a number" : "a whole number", aMin, aMax);
  }
  return std::nullopt;
}

/// The JSON form of a value; inverse of `Decode`.
template<class T>
nlohmann::json Encode(const T& aValue)
{
  if constexpr (std::is_same_v<T, bool>) {
    return aValue;
  } else if constexpr (std::is_enum_v<T>) {
    return kNames<T>[static_cast<std::size_t>(aValue)];
  } else if constexpr (requires { aValue.Value(); }) {
    return aValue.Value();
  } else {
    return aValue.count();
  }
}

/// Replaces the values that `aLevel` sets.
void Apply(values& aValues, const overrides& aLevel);

} // namespace internal
} // namespace tamarackweir::settings
