#include "placement/load_board.h"

#include "base/digest.h"
#include "base/error.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace tamarackweir::placement {

namespace {

using nlohmann::json;

constexpr const char* kUnit = "ms"; ///< of the prefill work in a message

/// 32 bits, as messages list many servers; two of a thousand collide in one of 10,000 fleets.
std::uint64_t KeyOf(const server_id& aServer)
{
  return StableHash(aServer.Value()) & 0xffffffffU;
}

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
      loads[KeyOf(id)] = { .mPrefillMs =
                             static_cast<std::uint32_t>(std::max(0.0, server->mPrefillMs)),
                           .mRequests = static_cast<std::uint32_t>(server->mInFlight) };
    }
  }
  return loads;
}

void RecordReport(load_board& aBoard, const std::string& aInstance, load_report aLoads,
                  time_point aNow)
{
  aBoard.mReports[aInstance] = { .mAt = aNow, .mLoads = std::move(aLoads) };
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

void ApplyTotals(backends::fleet& aFleet, const load_report& aTotals, time_point aNow)
{
  for (const auto& [id, server] : aFleet.mServers) {
    const auto load = aTotals.find(KeyOf(id));
    const server_load others = load == aTotals.end() ? server_load{} : load->second;
    server->mRemoteLoad = { .mPrefillMs = static_cast<double>(others.mPrefillMs),
                            .mRequests = static_cast<int>(others.mRequests),
                            .mExpiresAt = aNow + kLoadLifetime };
  }
}

std::string Encode(const load_message& aMessage)
{
  json loads = json::array();
  for (const auto& [server, load] : aMessage.mLoads) {
    loads.push_back(server);
    loads.push_back(load.mPrefillMs);
    loads.push_back(load.mRequests);
  }
  const auto bytes = json::to_msgpack(json::array(
    { aMessage.mInstance, aMessage.mIsTotals, aMessage.mAsksForTotals, std::move(loads), kUnit }));
  return { bytes.begin(), bytes.end() };
}

load_message DecodeLoads(std::string_view aBytes)
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
      result.mLoads[loads.at(i).get<std::uint64_t>()] = {
        .mPrefillMs = isTime ? loads.at(i + 1).get<std::uint32_t>() : 0,
        .mRequests = loads.at(i + 2).get<std::uint32_t>()
      };
    }
    return result;
  } catch (const json::exception& failure) {
    throw error(error_kind::InvalidInput,
                std::string("the load message of a peer can't be decoded: ") + failure.what(),
                "check that all instances run the same release");
  }
}

} // namespace tamarackweir::placement
