#include "standins.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using clock = std::chrono::steady_clock;
const clock::time_point kStart = clock::now();

constexpr double kHeartbeatS = 1.2;
constexpr int kQueue = 24; ///< requests that wait at a runner for a slot

std::string Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(),
                 [](unsigned char aByte) { return std::tolower(aByte); });
  return aText;
}

sockaddr_in AddressOf(const endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.mPort);
  inet_pton(AF_INET, aEndpoint.mIp.c_str(), &address.sin_addr);
  return address;
}

std::string Base64(const std::string& aBytes)
{
  static const char* const kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    const auto byte = [&](std::size_t aIndex) -> unsigned {
      return aIndex < aBytes.size() ? static_cast<unsigned char>(aBytes[aIndex]) : 0U;
    };
    const unsigned bits = (byte(i) << 16U) | (byte(i + 1) << 8U) | byte(i + 2);
    text += kDigits[(bits >> 18U) & 63U];
    text += kDigits[(bits >> 12U) & 63U];
    text += i + 1 < aBytes.size() ? kDigits[(bits >> 6U) & 63U] : '=';
    text += i + 2 < aBytes.size() ? kDigits[bits & 63U] : '=';
  }
  return text;
}

std::string FromBase64(const std::string& aText)
{
  static const std::string kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string bytes;
  unsigned bits = 0;
  int count = 0;
  for (const char character : aText) {
    const auto digit = kDigits.find(character);
    if (digit == std::string::npos) {
      continue;
    }
    bits = (bits << 6U) | static_cast<unsigned>(digit);
    count += 6;
    if (count >= 8) {
      count -= 8;
      bytes += static_cast<char>((bits >> static_cast<unsigned>(count)) & 255U);
    }
  }
  return bytes;
}

std::string Unescape(const std::string& aText)
{
  std::string result;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      result += static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      result += aText[i];
    }
  }
  return result;
}

std::string Parameter(const std::string& aTarget, const std::string& aName)
{
  const auto query = aTarget.find('?');
  if (query == std::string::npos) {
    return "";
  }
  std::stringstream parts(aTarget.substr(query + 1));
  for (std::string part; std::getline(parts, part, '&');) {
    if (part.rfind(aName + "=", 0) == 0) {
      return Unescape(part.substr(aName.size() + 1));
    }
  }
  return "";
}

std::mt19937_64& Generator()
{
  static std::mt19937_64 generator{ std::random_device{}() };
  return generator;
}

std::mutex& RandomMutex()
{
  static std::mutex mutex;
  return mutex;
}

} // namespace

double Now()
{
  return std::chrono::duration<double>(clock::now() - kStart).count();
}

void Sleep(double aSeconds)
{
  if (aSeconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
  }
}

double Random()
{
  const std::lock_guard lock(RandomMutex());
  return std::uniform_real_distribution<double>()(Generator());
}

bool HasTrouble()
{
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void End(outcome aOutcome)
{
  std::fflush(nullptr);
  std::_Exit(aOutcome);
}

record::record(const std::string& aPath)
  : mFile(std::fopen(aPath.c_str(), "w"))
{
  if (mFile == nullptr) {
    std::perror("the record");
    std::_Exit(kCouldNotRun);
  }
}

record::~record()
{
  std::fclose(mFile);
}

void record::Line(const char* aFormat, ...)
{
  const std::lock_guard lock(mMutex);
  std::fprintf(mFile, "%8.3f ", Now());
  va_list arguments;
  va_start(arguments, aFormat);
  std::vfprintf(mFile, aFormat, arguments);
  va_end(arguments);
  std::fputc('\n', mFile);
  std::fflush(mFile);
}

int Listen(const std::string& aIp, std::uint16_t& aPort)
{
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = AddressOf({ aIp, aPort });
  constexpr int kBacklog = 512;
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(listener, kBacklog) != 0) {
    close(listener);
    return -1;
  }
  socklen_t size = sizeof address;
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  aPort = ntohs(address.sin_port);
  return listener;
}

int Connect(const endpoint& aTo, double aLimitS, int aReceiveBuffer)
{
  const int peer = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (aReceiveBuffer > 0) {
    setsockopt(peer, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof aReceiveBuffer);
  }
  const sockaddr_in address = AddressOf(aTo);
  if (connect(peer, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    pollfd ready{ .fd = peer, .events = POLLOUT, .revents = 0 };
    int failure = errno;
    if (failure == EINPROGRESS && poll(&ready, 1, static_cast<int>(aLimitS * 1000)) == 1) {
      socklen_t size = sizeof failure;
      getsockopt(peer, SOL_SOCKET, SO_ERROR, &failure, &size);
    }
    if (failure != 0) {
      close(peer);
      return -1;
    }
  }
  fcntl(peer, F_SETFL, fcntl(peer, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return peer;
}

std::optional<std::string> message::Header(const std::string& aName) const
{
  for (const auto& [name, value] : mHeaders) {
    if (name == aName) {
      return value;
    }
  }
  return std::nullopt;
}

std::string message::Method() const
{
  return mFirst.substr(0, mFirst.find(' '));
}

std::string message::Target() const
{
  const auto begin = mFirst.find(' ') + 1;
  return mFirst.substr(begin, mFirst.find(' ', begin) - begin);
}

int message::Status() const
{
  const auto begin = mFirst.find(' ');
  return begin == std::string::npos ? 0 : std::atoi(mFirst.c_str() + begin + 1);
}

connection::~connection()
{
  close(mSocket);
}

bool connection::Send(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t sent = send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool connection::Fill(double aUntil)
{
  pollfd ready{ .fd = mSocket, .events = POLLIN, .revents = 0 };
  const double left = aUntil - Now();
  if (left <= 0 || poll(&ready, 1, static_cast<int>(left * 1000) + 1) != 1) {
    return false;
  }
  std::string bytes(1U << 16U, '\0');
  const ssize_t got = recv(mSocket, bytes.data(), bytes.size(), 0);
  if (got <= 0) {
    return false;
  }
  mBuffer.append(bytes, 0, static_cast<std::size_t>(got));
  return true;
}

bool connection::ReadHead(message& aMessage, double aUntil)
{
  std::size_t end = std::string::npos;
  while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(aUntil)) {
      return false;
    }
  }
  std::stringstream lines(mBuffer.substr(0, end + 2));
  mBuffer.erase(0, end + 4);
  aMessage = {};
  std::string line;
  std::getline(lines, line);
  aMessage.mFirst = line.substr(0, line.size() - 1);
  while (std::getline(lines, line)) {
    line.pop_back();
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      const auto value = line.find_first_not_of(' ', colon + 1);
      aMessage.mHeaders.emplace_back(Lower(line.substr(0, colon)),
                                     value == std::string::npos ? "" : line.substr(value));
    }
  }
  return true;
}

void connection::ReadBody(message& aMessage, bool aIsAnswer, double aUntil)
{
  if (aMessage.Header("transfer-encoding").value_or("") == "chunked") {
    while (true) {
      std::size_t end = std::string::npos;
      while ((end = mBuffer.find("\r\n")) == std::string::npos) {
        if (!Fill(aUntil)) {
          return;
        }
      }
      const std::size_t size = std::strtoul(mBuffer.c_str(), nullptr, 16);
      while (mBuffer.size() < end + 2 + size + 2) {
        if (!Fill(aUntil)) {
          aMessage.mBody += mBuffer.substr(std::min(end + 2, mBuffer.size()));
          return;
        }
      }
      aMessage.mBody += mBuffer.substr(end + 2, size);
      mBuffer.erase(0, end + 2 + size + 2);
      if (size == 0) {
        aMessage.mIsWhole = true;
        return;
      }
    }
  }
  const auto length = aMessage.Header("content-length");
  if (!length && aIsAnswer) {
    while (Fill(aUntil)) {
    }
    aMessage.mBody = std::move(mBuffer);
    aMessage.mIsWhole = IsClosed();
    return;
  }
  const std::size_t size = length ? std::stoul(*length) : 0;
  while (mBuffer.size() < size) {
    if (!Fill(aUntil)) {
      aMessage.mBody = std::move(mBuffer);
      return;
    }
  }
  aMessage.mBody = mBuffer.substr(0, size);
  mBuffer.erase(0, size);
  aMessage.mIsWhole = true;
}

bool connection::ReadRequest(message& aMessage, double aUntil)
{
  if (!ReadHead(aMessage, aUntil)) {
    return false;
  }
  ReadBody(aMessage, false, aUntil);
  return aMessage.mIsWhole;
}

bool connection::ReadAnswer(message& aMessage, double aUntil)
{
  do {
    if (!ReadHead(aMessage, aUntil)) {
      return false;
    }
  } while (aMessage.Status() < 200);
  ReadBody(aMessage, true, aUntil);
  return true;
}

bool connection::IsClosed()
{
  char byte = 0;
  const ssize_t seen = recv(mSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return seen == 0 || (seen < 0 && errno != EAGAIN && errno != EINTR);
}

void connection::ResetOnClose()
{
  const linger now{ .l_onoff = 1, .l_linger = 0 };
  setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

void connection::Shutdown()
{
  shutdown(mSocket, SHUT_RDWR);
}

server::server(std::string aIp, std::uint16_t aPort, handler aHandler)
  : mAddress{ std::move(aIp), aPort }
  , mHandler(std::move(aHandler))
{
  Restart();
}

server::~server()
{
  Crash();
}

void server::Restart()
{
  const std::lock_guard lock(mMutex);
  for (int i = 0; i < 100 && mListener < 0; ++i) {
    mListener = Listen(mAddress.mIp, mAddress.mPort);
    Sleep(mListener < 0 ? 0.02 : 0);
  }
  if (mListener < 0) {
    std::fprintf(stderr, "%s can't be bound\n", mAddress.Text().c_str());
    std::_Exit(kCouldNotRun);
  }
  std::thread([this, listener = mListener] { Accept(listener); }).detach();
}

void server::Crash()
{
  const std::lock_guard lock(mMutex);
  if (mListener >= 0) {
    shutdown(mListener, SHUT_RDWR);
    mListener = -1;
  }
  for (const int socket : mOpen) {
    const linger now{ .l_onoff = 1, .l_linger = 0 };
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    shutdown(socket, SHUT_RDWR);
  }
}

void server::Accept(int aListener)
{
  while (true) {
    const int peer = accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (peer < 0) {
      close(aListener);
      return;
    }
    const int on = 1;
    setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    {
      const std::lock_guard lock(mMutex);
      if (mListener != aListener) {
        close(peer);
        continue;
      }
      mOpen.insert(peer);
    }
    std::thread([this, peer] { Serve(peer); }).detach();
  }
}

void server::Serve(int aSocket)
{
  constexpr double kIdleS = 60;
  connection peer(aSocket);
  message request;
  while (peer.ReadRequest(request, Now() + kIdleS) && mHandler(peer, request)) {
  }
  const std::lock_guard lock(mMutex);
  mOpen.erase(aSocket);
}

store::store(const std::string& aIp)
{
  mServer = std::make_unique<server>(
    aIp, 0, [this](connection& aPeer, const message& aRequest) { return Handle(aPeer, aRequest); });
}

void store::Put(const std::string& aTable, const std::string& aKey, const json& aValue)
{
  const std::lock_guard lock(mMutex);
  mTables[aTable][aKey] = { .mValue = aValue.dump(), .mVersion = ++mVersion };
  mChanged.notify_all();
}

void store::PutBytes(const std::string& aTable, const std::string& aKey, const std::string& aBytes)
{
  const std::lock_guard lock(mMutex);
  mTables[aTable][aKey] = { .mValue = aBytes, .mVersion = ++mVersion };
  mChanged.notify_all();
}

void store::Remove(const std::string& aTable, const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  mTables[aTable][aKey] = { .mValue = "", .mVersion = ++mVersion, .mIsRemoved = true };
  mChanged.notify_all();
}

json store::RowsAfter(const std::string& aTable, std::uint64_t aAfter, bool aWithRemoved,
                      const std::string& aFrom)
{
  json rows = json::array();
  std::vector<std::pair<std::uint64_t, json>> found;
  for (const auto& [key, row] : mTables[aTable]) {
    if (row.mVersion <= aAfter || (row.mIsRemoved && !aWithRemoved) || key < aFrom) {
      continue;
    }
    json entry{
      { "table", aTable }, { "part", "" }, { "key", key }, { "rowVersion", row.mVersion }
    };
    if (row.mIsRemoved) {
      entry["removed"] = true;
    } else {
      entry["value"] = Base64(row.mValue);
    }
    found.emplace_back(row.mVersion, std::move(entry));
  }
  if (aWithRemoved) {
    std::sort(found.begin(), found.end(),
              [](const auto& aLeft, const auto& aRight) { return aLeft.first < aRight.first; });
  }
  for (auto& [version, entry] : found) {
    rows.push_back(std::move(entry));
  }
  return rows;
}

std::pair<int, json> store::Transact(const json& aCall)
{
  for (const json& write : aCall.at("writes")) {
    const std::string table = write.at("table");
    if (table == "op" || table == "servers") {
      return { 403, json::object() };
    }
  }
  for (const json& condition : aCall.at("expected")) {
    const auto& rows = mTables[condition.at("table")];
    const auto row = rows.find(condition.at("key"));
    const std::uint64_t version =
      row == rows.end() || row->second.mIsRemoved ? 0 : row->second.mVersion;
    if (version != condition.at("rowVersion").get<std::uint64_t>()) {
      return { 412, json{ { "rows", json::array() } } };
    }
  }
  ++mVersion;
  for (const json& write : aCall.at("writes")) {
    mTables[write.at("table")][write.at("key")] = { .mValue = FromBase64(write.at("value")),
                                                    .mVersion = mVersion };
  }
  mChanged.notify_all();
  return { 200, json::object() };
}

bool store::Handle(connection& aPeer, const message& aRequest)
{
  constexpr double kAnswerS = 0.004;
  Sleep(kAnswerS);
  const std::string target = aRequest.Target();
  const std::string table = Parameter(target, "table");
  int status = 200;
  json body = json::object();
  std::unique_lock lock(mMutex);
  if (target.rfind("/rows-get?", 0) == 0) {
    body["rows"] = RowsAfter(table, 0, false, Parameter(target, "from"));
    body["hasMore"] = false;
  } else if (target.rfind("/rows-feed?", 0) == 0) {
    const std::uint64_t after = std::stoull(Parameter(target, "after"));
    const auto end =
      clock::now() + std::chrono::milliseconds(std::stoi(Parameter(target, "waitMs")));
    while (RowsAfter(table, after, true, "").empty() && clock::now() < end) {
      mChanged.wait_until(lock, end);
    }
    body["rows"] = RowsAfter(table, after, true, "");
  } else if (target == "/rows-tx") {
    std::tie(status, body) = Transact(json::parse(aRequest.mBody));
  } else {
    status = 404;
  }
  body["rowVersion"] = mVersion;
  body["nowMs"] = static_cast<std::int64_t>(Now() * 1000) + 1'000'000;
  lock.unlock();
  const std::string text = body.dump();
  const bool isKept = aRequest.Header("connection").value_or("") != "close";
  return aPeer.Send("HTTP/1.1 " + std::to_string(status) +
                    " X\r\nContent-Type: application/json\r\nContent-Length: " +
                    std::to_string(text.size()) + "\r\n\r\n" + text) &&
         isKept;
}

runner::runner(store& aStore, record& aRecord, std::string aName, std::string aService,
               std::string aIp, std::string aZone, int aSlots, work aWork)
  : mStore(aStore)
  , mRecord(aRecord)
  , mName(std::move(aName))
  , mService(std::move(aService))
  , mZone(std::move(aZone))
  , mSlots(aSlots)
  , mWork(std::move(aWork))
  , mId(mName + "-0")
{
  mServer =
    std::make_unique<server>(std::move(aIp), 0, [this](connection& aPeer, const message& aRequest) {
      return Handle(aPeer, aRequest);
    });
  Announce();
}

void runner::Announce()
{
  const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
  mStore.Put("servers", Id(),
             json{ { "service", mService },
                   { "address", mServer->Address().Text() },
                   { "zone", mZone },
                   { "version", "1" },
                   { "slots", mSlots },
                   { "state", "ready" },
                   { "coldRemainingMs", 0 },
                   { "sequence", 1 },
                   { "born", born } });
}

std::string runner::Id()
{
  const std::lock_guard lock(mMutex);
  return mId;
}

void runner::Crash(double aDownS)
{
  if (!mIsUp.exchange(false)) {
    return;
  }
  const std::string old = Id();
  mServer->Crash();
  mRecord.Line("crash runner=%s", old.c_str());
  std::thread([this, old, aDownS] {
    Sleep(aDownS);
    {
      const std::lock_guard lock(mMutex);
      mId = mName + "-" + std::to_string(++mIncarnation);
      mBusy = 0;
      mQueued = 0;
    }
    mServer->Restart();
    mIsUp = true;
    Announce();
    mRecord.Line("back runner=%s", Id().c_str());
    Sleep(3 * kHeartbeatS - aDownS);
    mStore.Remove("servers", old);
  }).detach();
}

bool runner::Handle(connection& aPeer, const message& aRequest)
{
  const std::string attempt = aRequest.Header("x-attempt-id").value_or("");
  const auto refuse = [&](int aStatus) {
    mRecord.Line("refused runner=%s attempt=%s status=%d", mName.c_str(), attempt.c_str(), aStatus);
    return aPeer.Send("HTTP/1.1 " + std::to_string(aStatus) + " X\r\nX-Attempt-Id: " + attempt +
                      "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  };
  int incarnation = 0;
  {
    std::unique_lock lock(mMutex);
    if (aRequest.Target().rfind("/healthz", 0) == 0) {
      const std::string id = mId;
      lock.unlock();
      return aPeer.Send("HTTP/1.1 200 OK\r\nX-Instance-Id: " + id +
                        "\r\nContent-Length: 0\r\n\r\n");
    }
    if (attempt.empty()) {
      lock.unlock();
      return refuse(400);
    }
    if (const auto expected = aRequest.Header("x-expect-instance"); expected && *expected != mId) {
      lock.unlock();
      return refuse(421);
    }
    if (mBusy >= mSlots && mQueued >= kQueue) {
      lock.unlock();
      return refuse(503);
    }
    incarnation = mIncarnation;
    const double deadline = std::atof(aRequest.Header("x-deadline-ms").value_or("60000").c_str());
    ++mQueued;
    const bool isFree = mFreed.wait_for(lock, std::chrono::duration<double, std::milli>(deadline),
                                        [this] { return mBusy < mSlots; });
    --mQueued;
    if (!isFree) {
      lock.unlock();
      return refuse(503);
    }
    ++mBusy;
  }
  mRecord.Line("run runner=%s attempt=%s request=\"%s %s\" body=%zu bytes deadline=%s",
               mName.c_str(), attempt.c_str(), aRequest.Method().c_str(), aRequest.Target().c_str(),
               aRequest.mBody.size(), aRequest.Header("x-deadline-ms").value_or("none").c_str());
  const bool isKept = mWork(*this, aPeer, aRequest);
  const std::lock_guard lock(mMutex);
  if (incarnation == mIncarnation && mBusy > 0) {
    --mBusy;
  }
  mFreed.notify_all();
  return isKept;
}

std::string AnswerHead(const message& aRequest, int aStatus, const std::string& aMore)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " X\r\nX-Attempt-Id: " + aRequest.Header("x-attempt-id").value_or("") +
         "\r\nX-Response-Seal: seal." + aRequest.Header("x-attempt-id").value_or("") + "\r\n" +
         aMore + "\r\n";
}

std::string Answer(const message& aRequest, int aStatus, const std::string& aBody)
{
  return AnswerHead(aRequest, aStatus, "Content-Length: " + std::to_string(aBody.size()) + "\r\n") +
         aBody;
}

bool Work(connection& aPeer, double aSeconds)
{
  const double end = Now() + aSeconds;
  while (Now() < end) {
    Sleep(std::min(0.005, end - Now()));
    if (aPeer.IsClosed()) {
      return false;
    }
  }
  return true;
}

machine::machine(record& aRecord, const endpoint& aStore, const std::string& aFolder,
                 const std::string& aName, const std::string& aIp, const std::string& aZone,
                 std::uint16_t aBasePort, const std::vector<std::string>& aSeeds,
                 const json& aBounds, int aMemoryMb)
  : mRecord(aRecord)
  , mFolder(aFolder)
  , mName(aName)
  , mIp(aIp)
  , mBasePort(aBasePort)
  , mMemoryBytes(static_cast<std::int64_t>(aMemoryMb) * 1024 * 1024)
{
  const auto at = [&](int aOffset) {
    return endpoint{ aIp, static_cast<std::uint16_t>(aBasePort + aOffset) }.Text();
  };
  json bounds{ { "seedLagS", 3 },
               { "reuseAfterS", 2 },
               { "stableWindowMs", 3000 },
               { "ackMs", 4000 },
               { "catchUpS", 4 },
               { "drainMs", 2000 },
               { "graceS", 8 },
               { "lossSlackMs", 200 },
               { "configApplyMs", 2000 },
               { "rollbackSlackMs", 250 },
               { "outerMs", 5000 },
               { "failClosed", false },
               { "revokeMs", 5000 },
               { "retryBudgetRatio", 0.9 },
               { "budgetWindowS", 10 },
               { "retryBudgetSlack", 58 },
               { "exposureShare", 0.15 },
               { "exposureSlack", 30 },
               { "rollbackMs", 5000 },
               { "evacuateMs", 5000 },
               { "recoveryS", 12 },
               { "passMs", 120 },
               { "sessionS", 5 } };
  bounds.update(aBounds);
  const json settings{
    { "nodeName", aName },
    { "role", "gateway" },
    { "machineClass", "front" },
    { "serves", { "front", "control" } },
    { "ip", aIp },
    { "zone", aZone },
    { "region", "region" },
    { "zones", { { "zone-a", "region" }, { "zone-b", "region" }, { "zone-c", "region" } } },
    { "listen", { { "front", at(0) }, { "ready", at(1) }, { "control", at(2) } } },
    { "internalPorts", { aBasePort + 3, aBasePort + 15 } },
    { "seeds", aSeeds },
    { "bootstrap", true },
    { "faultCounted", false },
    { "limits",
      { { "cpuShare", 0.25 },
        { "cores", 1 },
        { "memoryMb", aMemoryMb },
        { "maxFds", 4100 },
        { "linkMbps", 1000.0 },
        { "diskMb", 0 } } },
    { "dataDir", nullptr },
    { "discovery", "platform" },
    { "entry", "virtual_ip" },
    { "heartbeatMs", 1200 },
    { "contracts",
      { "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
        "places", "platform", "rollout" } },
    { "faultTolerance", { { "machines", 1 }, { "zones", 1 }, { "regions", 0 } } },
    { "bounds", bounds },
    { "platform",
      { { "address", aStore.Text() },
        { "form", "table" },
        { "writesPerS", 400 },
        { "readsPerS", 2000 },
        { "txMs", 3.0 },
        { "partWritesPerS", 300 },
        { "rowBytes", 65536 },
        { "across", true },
        { "historyS", 20 } } }
  };
  std::ofstream(mFolder + "/" + mName + ".json") << settings.dump(2) << '\n';
  Start();
  mSupervisor = std::thread([this] { Supervise(); });
  mChecker = std::thread([this] { CheckReadiness(); });
}

machine::~machine()
{
  Stop();
}

void machine::Start()
{
  const std::string boot = "TAMARACKWEIR_BOOT=" + mFolder + "/" + mName + ".json";
  const std::string log = mFolder + "/" + mName + ".log";
  const pid_t parent = getpid();
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(kCouldNotRun);
    }
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    char program[] = "target/tamarackweir-gateway";
    char* const arguments[] = { program, nullptr };
    char* const environment[] = { const_cast<char*>(boot.c_str()), nullptr };
    execve(program, arguments, environment);
    _exit(kCouldNotRun);
  }
  const std::lock_guard lock(mMutex);
  mProcess = child;
}

void machine::Supervise()
{
  constexpr double kPauseS = 0.005;
  constexpr double kRestartS = 0.5;
  while (!mIsEnding) {
    Sleep(kPauseS);
    const pid_t process = mProcess;
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::int64_t peak = 0;
    for (std::string line; std::getline(status, line);) {
      if (line.rfind("VmHWM:", 0) == 0) {
        peak = std::atoll(line.c_str() + 6) * 1024;
      }
    }
    if (peak > mMemoryBytes) {
      mRecord.Line("memory machine=%s peak=%lld bytes limit=%lld bytes: killed", mName.c_str(),
                   static_cast<long long>(peak), static_cast<long long>(mMemoryBytes));
      kill(process, SIGKILL);
    }
    int state = 0;
    if (waitpid(process, &state, peak > mMemoryBytes ? 0 : WNOHANG) != process || mIsEnding) {
      continue;
    }
    ++mEnds;
    mIsReady = false;
    mRecord.Line("end machine=%s %s=%d", mName.c_str(), WIFEXITED(state) ? "exit" : "signal",
                 WIFEXITED(state) ? WEXITSTATUS(state) : WTERMSIG(state));
    Sleep(kRestartS);
    Start();
    mRecord.Line("start machine=%s", mName.c_str());
  }
}

void machine::CheckReadiness()
{
  int misses = 0;
  while (!mIsEnding) {
    const answer ready = Call({ mIp, static_cast<std::uint16_t>(mBasePort + 1) },
                              "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", 1);
    const bool isGood = ready.mStatus == 200;
    misses = isGood ? 0 : misses + 1;
    if (isGood || misses >= 2) {
      mIsReady = isGood;
    }
    Sleep(mIsReady || isGood ? 1 : 0.2);
  }
}

void machine::Stop()
{
  if (mIsEnding.exchange(true)) {
    return;
  }
  mSupervisor.join();
  mChecker.join();
  kill(mProcess, SIGKILL);
  waitpid(mProcess, nullptr, 0);
}

std::uint16_t FreeBasePort(const std::vector<std::string>& aIps)
{
  constexpr int kPorts = 16;
  for (int i = 0; i < 1000; ++i) {
    const auto base = static_cast<std::uint16_t>(12000 + static_cast<int>(Random() * 18000));
    bool isFree = true;
    for (const std::string& ip : aIps) {
      for (int offset = 0; offset < kPorts && isFree; ++offset) {
        std::uint16_t port = static_cast<std::uint16_t>(base + offset);
        const int listener = Listen(ip, port);
        isFree = listener >= 0;
        if (isFree) {
          close(listener);
        }
      }
    }
    if (isFree) {
      return base;
    }
  }
  std::fprintf(stderr, "no ports are free\n");
  std::_Exit(kCouldNotRun);
}

answer Call(const endpoint& aFront, const std::string& aBytes, double aDeadlineS)
{
  answer result;
  const double end = Now() + aDeadlineS;
  const int socket = Connect(aFront, std::min(1.0, aDeadlineS));
  if (socket < 0) {
    return result;
  }
  connection peer(socket);
  if (peer.Send(aBytes) && peer.ReadAnswer(result.mMessage, end)) {
    result.mStatus = result.mMessage.Status();
    result.mIsWhole = result.mMessage.mIsWhole;
  }
  result.mGaveUp = !result.mIsWhole && Now() >= end;
  return result;
}

std::string Request(const std::string& aMethod, const std::string& aHost,
                    const std::string& aTarget, const std::string& aAttempt, int aDeadlineMs,
                    const std::string& aKey, const std::string& aMoreHeaders,
                    const std::string& aBody)
{
  return aMethod + " " + aTarget + " HTTP/1.1\r\nHost: " + aHost + "\r\nX-Attempt-Id: " + aAttempt +
         "\r\nX-Deadline-Ms: " + std::to_string(aDeadlineMs) + "\r\nAuthorization: Bearer " + aKey +
         "\r\n" + aMoreHeaders +
         (aBody.empty() ? "" : "Content-Length: " + std::to_string(aBody.size()) + "\r\n") +
         "\r\n" + aBody;
}

std::string NewAttempt()
{
  char text[32];
  const std::lock_guard lock(RandomMutex());
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(Generator()()));
  return text;
}

} // namespace review
