#include "placement/load_board.h"

#include "backends/evidence_message.h"
#include "base/error.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace tamarackweir::placement {

namespace {

using nlohmann::json;

constexpr const char* kUnit = "ms"; ///< of the prefill work in a message

} // namespace

void Add(load_report& aTo, const load_report& aLoads)
{
  for (const auto& [server, load] : aLoads) {
    server_load& sum = aTo[server];
    sum.mPrefillMs += load.mPrefillMs;
    sum.mRequests += load.mRequests;
  }
}

load_report OwnLoads(const backends::fleet& aFleet)
{
  load_report loads;
  for (const auto& [id, server] : aFleet.mServers) {
    if (server->mInFlight > 0) {
      loads[backends::ServerKey(id)] = {
        .mPrefillMs = static_cast<std::uint32_t>(std::max(0.0, server->mPrefillMs)),
        .mRequests = static_cast<std::uint32_t>(server->mInFlight)
      };
    }
  }
  return loads;
}

void RecordReport(load_board& aBoard, load_message aReport, time_point aNow)
{
  aBoard.mReports[aReport.mInstance] = { .mAt = aNow,
                                         .mLoads = std::move(aReport.mLoads),
                                         .mSeen = std::move(aReport.mSeen) };
}

load_report Totals(load_board& aBoard, const std::string& aExcept, time_point aNow)
{
  std::erase_if(aBoard.mReports,
                [aNow](const auto& aEntry) { return aNow - aEntry.second.mAt > kLoadLifetime; });
  load_report totals;
  for (const auto& [instance, entry] : aBoard.mReports) {
    if (instance != aExcept) {
      Add(totals, entry.mLoads);
    }
  }
  return totals;
}

backends::observations PooledObservations(const load_board& aBoard,
                                          const backends::observations& aOwn, time_point aNow)
{
  std::vector<const backends::observations*> witnesses{ &aOwn };
  for (const auto& [instance, entry] : aBoard.mReports) {
    witnesses.push_back(&entry.mSeen);
  }
  return backends::Pool(witnesses, aNow);
}

void ApplyTotals(backends::fleet& aFleet, const load_report& aTotals, time_point aNow)
{
  for (const auto& [id, server] : aFleet.mServers) {
    const auto load = aTotals.find(backends::ServerKey(id));
    const server_load others = load == aTotals.end() ? server_load{} : load->second;
    server->mRemoteLoad = { .mPrefillMs = static_cast<double>(others.mPrefillMs),
                            .mRequests = static_cast<int>(others.mRequests),
                            .mExpiresAt = aNow + kLoadLifetime };
  }
}

std::string Encode(const load_message& aMessage, time_point aNow)
{
  json loads = json::array();
  for (const auto& [server, load] : aMessage.mLoads) {
    loads.push_back(server);
    loads.push_back(load.mPrefillMs);
    loads.push_back(load.mRequests);
  }
  json message = json::array(
    { aMessage.mInstance, aMessage.mIsTotals, aMessage.mAsksForTotals, std::move(loads), kUnit });
  backends::observations seen = aMessage.mSeen;
  message.push_back(backends::ToList(seen, aNow));
  std::vector<std::uint8_t> bytes = json::to_msgpack(message);
  while (bytes.size() > kMaxMessageBytes && !seen.empty()) {
    const std::size_t excess = bytes.size() - kMaxMessageBytes;
    const std::size_t dropped = 1 + excess / backends::kMaxObservationBytes;
    seen.resize(seen.size() - std::min(seen.size(), dropped));
    message.back() = backends::ToList(seen, aNow);
    bytes = json::to_msgpack(message);
  }
  return { bytes.begin(), bytes.end() };
}

load_message DecodeLoads(std::string_view aBytes, time_point aNow)
{
  constexpr std::size_t kFieldsPerServer = 3;
  try {
    const json message = json::from_msgpack(aBytes.begin(), aBytes.end());
    load_message result{ .mInstance = message.at(0).get<std::string>(),
                         .mIsTotals = message.at(1).get<bool>(),
                         .mAsksForTotals = message.at(2).get<bool>() };
    const json& loads = message.at(3);
    // Earlier releases send tokens, without a unit; how long those take here is not known.
    const bool isTime = message.size() > 4 && message.at(4) == kUnit;
    for (std::size_t i = 0; i < loads.size(); i += kFieldsPerServer) {
      if (!loads.at(i).is_number_unsigned() || !loads.at(i + 1).is_number_unsigned() ||
          !loads.at(i + 2).is_number_unsigned()) {
        ++result.mSkipped;
        continue;
      }
      result.mLoads[loads.at(i).get<std::uint64_t>()] = {
        .mPrefillMs = isTime ? loads.at(i + 1).get<std::uint32_t>() : 0,
        .mRequests = loads.at(i + 2).get<std::uint32_t>()
      };
    }
    // Earlier releases send no observations.
    if (constexpr std::size_t kSeen = 5; message.size() > kSeen) {
      auto [seen, skipped] = backends::FromList(
        message[kSeen],
        result.mIsTotals ? backends::kMaxPooledServers : backends::kMaxReportedServers, aNow);
      result.mSeen = std::move(seen);
      result.mSkipped += skipped;
    }
    return result;
  } catch (const json::exception& failure) {
    throw error(error_kind::InvalidInput,
                std::string("the load message of a peer can't be decoded: ") + failure.what(),
                "check that all instances run the same release");
  }
}

} // namespace tamarackweir::placement
