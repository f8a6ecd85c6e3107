#pragma once

#include "base/clock.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <httplib.h>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace tamarackweir::standins {

using json = nlohmann::json;

struct standin;

/// What distinguishes the kinds of stand-ins.
///
/// `mOptions` and `mSwitches` hold the permitted members with their defaults, see `Merge`. The
/// config may set both; `POST /faults` changes the switches of a running stand-in.
struct kind
{
  json mOptions;
  json mSwitches;
  void (*mServe)(standin& aStandin) = nullptr; ///< registers the routes
};

/// The kinds by name.
const std::map<std::string, kind>& Kinds();

/// One simulated outside server on one port of 127.0.0.1.
struct standin
{
  std::string mKind;
  std::string mId;
  std::string mDataCentre;
  int mPort = 0; ///< 0 in the config: the system chooses one

  std::mutex mMutex; ///< guards all that follows but the server and its thread
  std::condition_variable mChanged;
  json mOptions;
  json mSwitches;
  std::map<std::string, std::uint64_t> mCounts;
  bool mStopping = false;
  std::uint64_t mOpenAnswers = 0;               ///< admitted and not yet wholly written
  bool mEnded = false;                          ///< the server's thread has left its loop
  time_point mAbsentUntil{};                    ///< connections are dropped until then
  std::function<void(json&)> mAddStats;         ///< adds the kind's own members to the statistics
  std::function<void(const json&)> mOnSwitched; ///< called with the members that were set

  // The routes hold state that uses the members above, so the server is destroyed before them.
  httplib::Server mServer;
  std::thread mThread;

  standin() = default;
  standin(const standin&) = delete;
  standin& operator=(const standin&) = delete;
  ~standin();
};

/// Time as the outside servers see it. The only clock read of the stand-ins.
time_point Now();

/// Overwrites members of `aTarget` with those of `aPatch`, as far as `aShape` permits.
///
/// A member of `aShape` named "*" permits any name. Types must agree, numbers must not be
/// negative; a boolean also accepts a number n: true for the next n uses; null in the shape stands
/// for an optional number. Throws `error` of kind `InvalidInput`; then nothing was changed.
void Merge(json& aTarget, const json& aPatch, const json& aShape, const std::string& aWhere);

/// Checks that a document has only the members, of the types, that `aShape` shows.
void CheckMembers(const json& aDocument, const json& aShape, const std::string& aWhere);

/// Creates and starts one stand-in. Throws `error` of kind `InvalidInput` for a bad entry and
/// `Unavailable` if the port is taken.
std::unique_ptr<standin> Start(const json& aEntry);

/// Starts all stand-ins of a config `{"standins": [...]}`.
std::vector<std::unique_ptr<standin>> StartAll(const json& aConfig);

/// Reads a config file (JSON with comments).
json ReadConfig(const std::string& aFile);

/// Lets running answers end without further delays, then closes. Repeated calls do nothing.
void Stop(standin& aStandin);

/// Wraps a route: applies the switches `down` and `slow_ms`, and turns errors into JSON answers.
httplib::Server::Handler Guard(standin& aStandin, httplib::Server::Handler aHandler);

/// Answers with a JSON document.
void Answer(httplib::Response& aResponse, int aStatus, const json& aBody);

/// Parses a request's body. Throws `error` of kind `InvalidInput` if it is no JSON object.
json ParseBody(const httplib::Request& aRequest);

/// Returns a string member. Throws `error` of kind `InvalidInput` if it is absent or no string.
std::string Text(const json& aObject, const std::string& aName);

/// Returns the value of a boolean switch and uses up one of its counted uses. Needs the lock.
bool UseSwitch(standin& aStandin, const std::string& aName);

/// Returns a numeric switch as milliseconds. Needs the lock.
duration Milliseconds(const standin& aStandin, const std::string& aName);

/// Waits until `aUntil`, the stand-in's stop, or until `aPredicate` holds after a notification.
void WaitUntil(standin& aStandin, std::unique_lock<std::mutex>& aLock, time_point aUntil,
               const std::function<bool()>& aPredicate = nullptr);

/// Counts events by second.
struct rate_meter
{
  std::uint64_t mTotal = 0;
  std::int64_t mSecond = 0;
  std::uint64_t mCurrent = 0; ///< in the current second
  std::uint64_t mLast = 0;    ///< in the second before it
  std::uint64_t mPeak = 0;    ///< in the busiest second
};

/// Counts one event, unless `aLimit` (0: none) events were counted in this second; returns whether
/// it was counted.
bool Count(rate_meter& aMeter, time_point aNow, std::uint64_t aLimit = 0);

/// The meter as a JSON object.
json ToJson(rate_meter aMeter, time_point aNow);

/// Answers 429 with `Retry-After: 1`.
void AnswerTooMany(httplib::Response& aResponse, const std::string& aSwitch);

} // namespace tamarackweir::standins
