#include "standins/standin.h"

#include "base/error.h"
#include "standins/network.h"

#include <fstream>
#include <sys/socket.h>
#include <utility>

namespace tamarackweir::standins {

namespace {

/// Covers 300 concurrent streams plus connections that are kept open between requests.
constexpr std::size_t kThreadsPerStandin = 512;
/// The library's backlog of 5 makes bursts of new connections wait 1 s for the second SYN.
constexpr int kBacklog = 1024;
/// A connection that the server closes while the client sends looks like a lost answer, so idle
/// connections stay open longer than tests run and are not limited in requests.
constexpr time_t kKeepAliveSeconds = 300;
constexpr std::size_t kRequestsPerConnection = 1'000'000;

std::string Names(const json& aShape)
{
  std::string names;
  for (const auto& [name, value] : aShape.items()) {
    names += (names.empty() ? "" : ", ") + name;
  }
  return names;
}

void CheckValue(const json& aValue, const json& aShape, const std::string& aWhere)
{
  const bool number = aValue.is_number() && aValue >= 0;
  const bool fits = aShape.is_boolean()
                      ? aValue.is_boolean() || (aValue.is_number_integer() && number)
                    : aShape.is_null()   ? number
                    : aShape.is_number() ? number
                                         : aValue.type() == aShape.type();
  if (!fits) {
    const char* expected = aShape.is_boolean()  ? "true, false or a count of uses"
                           : aShape.is_null()   ? "a number of at least 0"
                           : aShape.is_number() ? "a number of at least 0"
                                                : aShape.type_name();
    throw error(error_kind::InvalidInput, aWhere + " is " + aValue.dump(),
                std::string("set it to ") + expected);
  }
}

int StatusOf(error_kind aKind)
{
  switch (aKind) {
    case error_kind::NotFound:
      return 404;
    case error_kind::Conflict:
      return 409;
    case error_kind::Unavailable:
      return 503;
    default:
      return 400;
  }
}

void AnswerError(httplib::Response& aResponse, int aStatus, const std::string& aMessage)
{
  Answer(aResponse, aStatus, { { "error", { { "message", aMessage } } } });
}

httplib::Server::Handler CatchErrors(httplib::Server::Handler aHandler)
{
  return
    [handler = std::move(aHandler)](const httplib::Request& aRequest, httplib::Response& aAnswer) {
      try {
        handler(aRequest, aAnswer);
      } catch (const error& failure) {
        AnswerError(aAnswer, StatusOf(failure.Kind()), failure.what());
      } catch (const json::exception& failure) {
        AnswerError(aAnswer, 400,
                    std::string(failure.what()) + "; send the document that docs/design.md shows");
      }
    };
}

json Stats(standin& aStandin)
{
  json stats{ { "id", aStandin.mId }, { "kind", aStandin.mKind } };
  for (const auto& [name, count] : aStandin.mCounts) {
    stats[name] = count;
  }
  stats["switches"] = aStandin.mSwitches;
  if (aStandin.mAddStats) {
    aStandin.mAddStats(stats);
  }
  return stats;
}

void ServeControl(standin& aStandin)
{
  aStandin.mServer.Get("/stats", [&aStandin](const httplib::Request&, httplib::Response& aAnswer) {
    const std::lock_guard lock(aStandin.mMutex);
    Answer(aAnswer, 200, Stats(aStandin));
  });
  aStandin.mServer.Post(
    "/faults",
    CatchErrors([&aStandin](const httplib::Request& aRequest, httplib::Response& aAnswer) {
      const json patch = ParseBody(aRequest);
      {
        const std::lock_guard lock(aStandin.mMutex);
        Merge(aStandin.mSwitches, patch, Kinds().at(aStandin.mKind).mSwitches, "faults");
        if (aStandin.mOnSwitched) {
          aStandin.mOnSwitched(patch);
        }
        Answer(aAnswer, 200, aStandin.mSwitches);
      }
      aStandin.mChanged.notify_all();
    }));
}

void Listen(standin& aStandin)
{
  int listener = -1;
  aStandin.mServer.new_task_queue = [] { return new growing_pool(kThreadsPerStandin); };
  aStandin.mServer.set_keep_alive_timeout(kKeepAliveSeconds);
  aStandin.mServer.set_keep_alive_max_count(kRequestsPerConnection);
  aStandin.mServer.set_tcp_nodelay(true);
  // The library's default, SO_REUSEPORT, lets two programs share a port without notice.
  aStandin.mServer.set_socket_options([&listener](socket_t aSocket) {
    const int yes = 1;
    setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    listener = aSocket;
  });
  if (aStandin.mPort == 0) {
    aStandin.mPort = aStandin.mServer.bind_to_any_port("127.0.0.1");
  } else if (!aStandin.mServer.bind_to_port("127.0.0.1", aStandin.mPort)) {
    throw error(error_kind::Unavailable,
                "port " + std::to_string(aStandin.mPort) + " of stand-in " + aStandin.mId +
                  " is taken",
                "end the program that uses it or change the port in the config");
  }
  listen(listener, kBacklog);
  aStandin.mThread = std::thread([&aStandin] {
    aStandin.mServer.listen_after_bind();
    const std::lock_guard lock(aStandin.mMutex);
    aStandin.mEnded = true;
  });
}

} // namespace

standin::~standin()
{
  Stop(*this);
}

time_point Now()
{
  return time_point(
    std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

void Merge(json& aTarget, const json& aPatch, const json& aShape, const std::string& aWhere)
{
  if (!aPatch.is_object()) {
    throw error(error_kind::InvalidInput, aWhere + " is " + aPatch.dump(), "send a JSON object");
  }
  json merged = aTarget;
  for (const auto& [name, value] : aPatch.items()) {
    const auto exact = aShape.find(name);
    const auto shape = exact != aShape.end() ? exact : aShape.find("*");
    const std::string where = aWhere + "." + name;
    if (shape == aShape.end()) {
      throw error(error_kind::InvalidInput, "unknown member " + where,
                  "use one of: " + Names(aShape));
    }
    if (shape->is_object()) {
      Merge(merged.emplace(name, *shape).first.value(), value, *shape, where);
    } else {
      CheckValue(value, *shape, where);
      merged[name] = value;
    }
  }
  aTarget = std::move(merged);
}

void CheckMembers(const json& aDocument, const json& aShape, const std::string& aWhere)
{
  json ignored = json::object();
  Merge(ignored, aDocument, aShape, aWhere);
}

std::unique_ptr<standin> Start(const json& aEntry)
{
  auto result = std::make_unique<standin>();
  result->mKind = Text(aEntry, "kind");
  const auto found = Kinds().find(result->mKind);
  if (found == Kinds().end()) {
    std::string names;
    for (const auto& [name, unused] : Kinds()) {
      names += (names.empty() ? "" : ", ") + name;
    }
    throw error(error_kind::InvalidInput, "unknown kind " + result->mKind, "use one of: " + names);
  }
  const json common{
    { "kind", "" }, { "id", result->mKind }, { "data_centre", "" }, { "port", 0 }
  };
  json shape = common;
  shape.update(found->second.mOptions);
  shape.update(found->second.mSwitches);
  json all = shape;
  Merge(all, aEntry, shape, "stand-in " + aEntry.value("id", result->mKind));
  result->mId = all["id"];
  result->mDataCentre = all["data_centre"];
  result->mPort = all["port"];
  for (const auto& [name, value] : all.items()) {
    if (found->second.mOptions.contains(name)) {
      result->mOptions[name] = value;
    } else if (found->second.mSwitches.contains(name)) {
      result->mSwitches[name] = value;
    }
  }
  ServeControl(*result);
  found->second.mServe(*result);
  Listen(*result);
  return result;
}

std::vector<std::unique_ptr<standin>> StartAll(const json& aConfig)
{
  json config{ { "standins", json::array() } };
  Merge(config, aConfig, config, "config");
  std::vector<std::unique_ptr<standin>> result;
  for (const json& entry : config["standins"]) {
    result.push_back(Start(entry));
  }
  return result;
}

json ReadConfig(const std::string& aFile)
{
  std::ifstream in(aFile);
  if (!in) {
    throw error(error_kind::InvalidInput, "cannot read " + aFile, "name a readable file");
  }
  try {
    return json::parse(in, nullptr, true, true);
  } catch (const json::parse_error& failure) {
    throw error(error_kind::InvalidInput, aFile + ": " + failure.what(), "correct the JSON text");
  }
}

void Stop(standin& aStandin)
{
  std::unique_lock lock(aStandin.mMutex);
  aStandin.mStopping = true;
  aStandin.mChanged.notify_all();
  // The library cuts streamed answers off as soon as it stops. They end without delays now, unless
  // a caller does not read.
  aStandin.mChanged.wait_for(lock, 2s, [&] { return aStandin.mOpenAnswers == 0; });
  lock.unlock();
  if (!aStandin.mThread.joinable()) {
    return;
  }
  // The library ignores a stop that comes before its accept loop has begun.
  while (!aStandin.mServer.is_running()) {
    std::this_thread::yield();
  }
  aStandin.mServer.stop();
  // Threads wait on idle connections for a next request; connections that were accepted last may
  // appear after the first pass.
  lock.lock();
  while (!aStandin.mEnded) {
    EndReading(aStandin.mPort);
    aStandin.mChanged.wait_for(lock, 5ms);
  }
  lock.unlock();
  aStandin.mThread.join();
}

httplib::Server::Handler Guard(standin& aStandin, httplib::Server::Handler aHandler)
{
  return CatchErrors([&aStandin, handler = std::move(aHandler)](const httplib::Request& aRequest,
                                                                httplib::Response& aAnswer) {
    std::unique_lock lock(aStandin.mMutex);
    if (aStandin.mStopping) {
      Answer(aAnswer, 503, { { "outcome", "not_run" } });
      return;
    }
    if (Now() < aStandin.mAbsentUntil || UseSwitch(aStandin, "down")) {
      lock.unlock();
      DropConnection(aRequest);
      return;
    }
    if (const duration delay = Milliseconds(aStandin, "slow_ms"); delay > 0us) {
      WaitUntil(aStandin, lock, Now() + delay);
    }
    lock.unlock();
    handler(aRequest, aAnswer);
  });
}

void Answer(httplib::Response& aResponse, int aStatus, const json& aBody)
{
  aResponse.status = aStatus;
  aResponse.set_content(aBody.dump(), "application/json");
}

json ParseBody(const httplib::Request& aRequest)
{
  json body = json::parse(aRequest.body, nullptr, false);
  if (!body.is_object()) {
    throw error(error_kind::InvalidInput, "the body is no JSON object",
                "send the document that docs/design.md shows for " + aRequest.path);
  }
  return body;
}

std::string Text(const json& aObject, const std::string& aName)
{
  const auto found = aObject.is_object() ? aObject.find(aName) : aObject.end();
  if (found == aObject.end() || !found->is_string()) {
    throw error(error_kind::InvalidInput, "member " + aName + " is absent or no string",
                "add \"" + aName + "\": \"...\"");
  }
  return *found;
}

bool UseSwitch(standin& aStandin, const std::string& aName)
{
  json& value = aStandin.mSwitches.at(aName);
  if (value.is_boolean()) {
    return value.get<bool>();
  }
  const auto uses = value.get<std::uint64_t>();
  if (uses == 0) {
    return false;
  }
  value = uses - 1;
  return true;
}

duration Milliseconds(const standin& aStandin, const std::string& aName)
{
  return duration(static_cast<std::int64_t>(aStandin.mSwitches.at(aName).get<double>() * 1000));
}

void WaitUntil(standin& aStandin, std::unique_lock<std::mutex>& aLock, time_point aUntil,
               const std::function<bool()>& aPredicate)
{
  aStandin.mChanged.wait_for(aLock, std::max(aUntil - Now(), duration{}),
                             [&] { return aStandin.mStopping || (aPredicate && aPredicate()); });
}

bool Count(rate_meter& aMeter, time_point aNow, std::uint64_t aLimit)
{
  const auto second = std::chrono::floor<std::chrono::seconds>(aNow.time_since_epoch()).count();
  if (second != aMeter.mSecond) {
    aMeter.mLast = second == aMeter.mSecond + 1 ? aMeter.mCurrent : 0;
    aMeter.mCurrent = 0;
    aMeter.mSecond = second;
  }
  if (aLimit != 0 && aMeter.mCurrent >= aLimit) {
    return false;
  }
  ++aMeter.mTotal;
  aMeter.mPeak = std::max(aMeter.mPeak, ++aMeter.mCurrent);
  return true;
}

json ToJson(rate_meter aMeter, time_point aNow)
{
  const rate_meter before = aMeter;
  Count(aMeter, aNow); // rolls the seconds forward in the copy
  return { { "total", before.mTotal }, { "last_second", aMeter.mLast }, { "peak", before.mPeak } };
}

void AnswerTooMany(httplib::Response& aResponse, const std::string& aSwitch)
{
  aResponse.set_header("Retry-After", "1");
  AnswerError(aResponse, 429, "above the rate of " + aSwitch + "; send again after 1 s");
}

} // namespace tamarackweir::standins
