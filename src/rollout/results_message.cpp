#include "rollout/results_message.h"

#include "base/error.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace tamarackweir::rollout {

using nlohmann::json;

std::string EncodeReport(const results_report& aReport)
{
  json results = json::array();
  for (const auto& [key, result] : aReport.mResults) {
    results.push_back({ key.mIsNew, key.mRoute, key.mServer.Value(), result.mGood, result.mBad,
                        result.mOnPace, result.mSlow, key.mIsLoaded });
  }
  return json{
    { "service", aReport.mService.Value() },
    { "order", aReport.mOrderId },
    { "instance", aReport.mInstance },
    { "results", std::move(results) },
    { "loads", aReport.mLoads }
  }.dump();
}

namespace {

/// More results of one server than this in a roll-out are an error of the sender. The decisions
/// take time in proportion to the counts.
constexpr std::uint64_t kMaxCount = 10'000'000;

bool IsCount(const json& aValue)
{
  return aValue.is_number_unsigned() && aValue.get<std::uint64_t>() <= kMaxCount;
}

} // namespace

results_report DecodeReport(std::string_view aText)
{
  try {
    const json message = json::parse(aText);
    results_report report;
    report.mService = service_id(message.at("service").get<std::string>());
    report.mOrderId = message.at("order").get<std::uint64_t>();
    report.mInstance = message.at("instance").get<std::string>();
    for (const json& entry : message.at("results")) {
      const result_key key{ .mIsNew = entry.at(0).get<bool>(),
                            .mRoute = entry.at(1).get<std::string>(),
                            .mServer = server_id(entry.at(2).get<std::string>()),
                            .mIsLoaded = entry.size() > 7 && entry.at(7).get<bool>() };
      constexpr std::ptrdiff_t kCountsFrom = 3;
      constexpr std::ptrdiff_t kCountsTo = 7;
      const auto size = static_cast<std::ptrdiff_t>(entry.size());
      if (!std::all_of(entry.begin() + kCountsFrom, entry.begin() + std::min(kCountsTo, size),
                       IsCount)) {
        throw error(error_kind::InvalidInput, "results message of a peer has invalid counts",
                    "check that all instances run the same release");
      }
      shift_counts& counts = report.mResults[key];
      counts = { .mGood = entry.at(3).get<std::uint64_t>(),
                 .mBad = entry.at(4).get<std::uint64_t>() };
      // Instances of an earlier release do not judge the pace.
      if (entry.size() > 5) {
        counts.mOnPace = entry.at(5).get<std::uint64_t>();
        counts.mSlow = entry.at(6).get<std::uint64_t>();
      }
    }
    // Instances of an earlier release do not send loads.
    if (message.contains("loads")) {
      const json& loads = message.at("loads");
      if (!std::all_of(loads.begin(), loads.end(),
                       [](const json& aCount) { return aCount.is_number_unsigned(); }) ||
          loads.size() != report.mLoads.size()) {
        throw error(error_kind::InvalidInput, "results message of a peer has invalid loads",
                    "check that all instances run the same release");
      }
      report.mLoads = loads.get<load_counts>();
    }
    return report;
  } catch (const json::exception& failure) {
    throw error(error_kind::InvalidInput,
                std::string("results message of a peer is malformed: ") + failure.what(),
                "check that all instances run the same release");
  }
}

} // namespace tamarackweir::rollout
