#pragma once

// Stand-ins for the platform's store, for runners and for clients, as PROTOCOL.md describes them,
// and processes of the gateway. Everything is on loopback addresses and on the real clock.

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <signal.h>
#include <sstream>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using nlohmann::json;
using std::chrono::steady_clock;

inline double Seconds()
{
  static const auto begin = steady_clock::now();
  return std::chrono::duration<double>(steady_clock::now() - begin).count();
}

inline void Sleep(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

/// The record of a case: a line for each thing that was sent, answered or run.
class record
{
public:
  explicit record(const std::string& aPath)
    : mFile(aPath, std::ios::trunc)
  {
  }
  template<class... Parts>
  void Line(const Parts&... aParts)
  {
    std::ostringstream text;
    (text << ... << aParts);
    const std::lock_guard lock(mMutex);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f s  ", Seconds());
    mFile << time << text.str() << std::endl;
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

inline std::string Base64(const std::string& aBytes)
{
  static const char* const kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    unsigned bits = static_cast<unsigned char>(aBytes[i]) << 16U;
    if (i + 1 < aBytes.size()) {
      bits |= static_cast<unsigned char>(aBytes[i + 1]) << 8U;
    }
    if (i + 2 < aBytes.size()) {
      bits |= static_cast<unsigned char>(aBytes[i + 2]);
    }
    out += kDigits[bits >> 18U & 63U];
    out += kDigits[bits >> 12U & 63U];
    out += i + 1 < aBytes.size() ? kDigits[bits >> 6U & 63U] : '=';
    out += i + 2 < aBytes.size() ? kDigits[bits & 63U] : '=';
  }
  return out;
}

inline sockaddr_in Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// A free port for TCP and UDP, and for `aCount` - 1 ports behind it. They are below the ports that
/// the system gives to connections, which may all be in TIME_WAIT.
inline int FreePorts(int aCount)
{
  constexpr int kFirst = 20000;
  constexpr int kPorts = 12000;
  static int next = getpid() * 37 % kPorts;
  for (int tries = 0; tries < kPorts; ++tries) {
    const int first = kFirst + next;
    next = (next + aCount) % (kPorts - aCount);
    bool isFree = true;
    for (int i = 0; i < aCount && isFree; ++i) {
      for (const int type : { SOCK_STREAM, SOCK_DGRAM }) {
        const int one = socket(AF_INET, type | SOCK_CLOEXEC, 0);
        const int on = 1;
        if (type == SOCK_STREAM) {
          setsockopt(one, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        }
        const sockaddr_in address = Loopback(first + i);
        isFree = isFree &&
                 bind(one, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
                 (type == SOCK_DGRAM || listen(one, 1) == 0);
        close(one);
      }
    }
    if (isFree) {
      return first;
    }
  }
  std::fprintf(stderr, "no free ports\n");
  std::exit(2);
}

struct message
{
  std::string mStart;                                       ///< start line
  std::vector<std::pair<std::string, std::string>> mHeader; ///< names in lower case
  std::string mBody;

  std::string Get(const std::string& aName) const
  {
    for (const auto& [name, value] : mHeader) {
      if (name == aName) {
        return value;
      }
    }
    return {};
  }
  std::string Method() const { return mStart.substr(0, mStart.find(' ')); }
  std::string Target() const
  {
    const auto begin = mStart.find(' ') + 1;
    return mStart.substr(begin, mStart.find(' ', begin) - begin);
  }
  int Status() const
  {
    const auto space = mStart.find(' ');
    return space == std::string::npos ? 0 : std::atoi(mStart.c_str() + space + 1);
  }
};

/// A connection with a buffer for what was read beyond a message.
class connection
{
public:
  explicit connection(int aSocket)
    : mSocket(aSocket)
  {
    const int on = 1;
    setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~connection() { close(mSocket); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  bool Write(const std::string& aBytes)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t size = send(mSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(size);
    }
    return true;
  }

  /// Reads a whole message until `aEnd` (see `Seconds`); nothing if there is none.
  std::optional<message> Read(double aEnd, bool aIsAnswer)
  {
    std::size_t headEnd = 0;
    while ((headEnd = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aEnd)) {
        return std::nullopt;
      }
    }
    message result;
    std::size_t at = mBuffer.find("\r\n");
    result.mStart = mBuffer.substr(0, at);
    while (at < headEnd) {
      const std::size_t begin = at + 2;
      at = mBuffer.find("\r\n", begin);
      const std::string line = mBuffer.substr(begin, at - begin);
      const auto colon = line.find(':');
      std::string name = line.substr(0, colon);
      for (char& letter : name) {
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
      }
      const auto value = line.find_first_not_of(' ', colon + 1);
      result.mHeader.emplace_back(name, value == std::string::npos ? "" : line.substr(value));
    }
    mBuffer.erase(0, headEnd + 4);
    if (result.Get("transfer-encoding") == "chunked") {
      while (true) {
        std::size_t lineEnd = 0;
        while ((lineEnd = mBuffer.find("\r\n")) == std::string::npos) {
          if (!Fill(aEnd)) {
            return std::nullopt;
          }
        }
        const std::size_t size = std::strtoul(mBuffer.c_str(), nullptr, 16);
        while (mBuffer.size() < lineEnd + 2 + size + 2) {
          if (!Fill(aEnd)) {
            return std::nullopt;
          }
        }
        result.mBody += mBuffer.substr(lineEnd + 2, size);
        mBuffer.erase(0, lineEnd + 2 + size + 2);
        if (size == 0) {
          return result;
        }
      }
    }
    const std::string length = result.Get("content-length");
    if (length.empty() && aIsAnswer && result.Status() != 204) {
      while (Fill(aEnd)) {
      }
      result.mBody = std::exchange(mBuffer, {});
      return result;
    }
    const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
    while (mBuffer.size() < size) {
      if (!Fill(aEnd)) {
        return std::nullopt;
      }
    }
    result.mBody = mBuffer.substr(0, size);
    mBuffer.erase(0, size);
    return result;
  }

  bool WasClosed() const { return mIsClosed; }
  int Socket() const { return mSocket; }

private:
  bool Fill(double aEnd)
  {
    const double left = aEnd - Seconds();
    pollfd waited{ mSocket, POLLIN, 0 };
    if (left <= 0 || poll(&waited, 1, static_cast<int>(left * 1000) + 1) <= 0) {
      return false;
    }
    char bytes[1 << 14];
    const ssize_t size = recv(mSocket, bytes, sizeof bytes, 0);
    if (size <= 0) {
      mIsClosed = true;
      return false;
    }
    mBuffer.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  int mSocket;
  std::string mBuffer;
  bool mIsClosed = false;
};

/// Connects to a loopback port; -1 if that fails.
inline int Connect(int aPort)
{
  const int one = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(aPort);
  if (connect(one, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(one);
    return -1;
  }
  return one;
}

/// Sends a request on a new connection and reads the whole answer; nothing if there is none.
inline std::optional<message> Ask(int aPort, const std::string& aRequest, double aLimit)
{
  const int socket = Connect(aPort);
  if (socket < 0) {
    return std::nullopt;
  }
  connection link(socket);
  if (!link.Write(aRequest)) {
    return std::nullopt;
  }
  return link.Read(Seconds() + aLimit, true);
}

/// An HTTP server with a thread for each connection.
class server
{
public:
  using handler = std::function<bool(connection&, const message&)>; ///< returns whether to go on
  explicit server(handler aHandler)
    : mHandler(std::move(aHandler))
  {
    mListener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    mPort = FreePorts(1);
    sockaddr_in address = Loopback(mPort);
    if (bind(mListener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(mListener, 1024) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    std::thread([this] { Accept(); }).detach();
  }
  int Port() const { return mPort; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(mPort); }

private:
  void Accept()
  {
    while (true) {
      const int one = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (one < 0) {
        Sleep(0.01);
        continue;
      }
      std::thread([this, one] {
        connection link(one);
        while (const auto request = link.Read(Seconds() + 120, false)) {
          if (!mHandler(link, *request)) {
            return;
          }
        }
      }).detach();
    }
  }

  handler mHandler;
  int mListener = -1;
  int mPort = 0;
};

inline std::string Answer(int aStatus, const std::string& aHeader, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + aHeader +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// The platform's store with tables of rows.
class store
{
public:
  store()
    : mServer([this](connection& aLink, const message& aRequest) {
      return aLink.Write(Handle(aRequest));
    })
  {
  }
  std::string Address() const { return mServer.Address(); }

  /// Writes a row, or removes it with an empty value. Returns the version.
  std::uint64_t Put(const std::string& aTable, const std::string& aKey, const std::string& aValue)
  {
    const std::lock_guard lock(mMutex);
    ++mVersion;
    Set(aTable, aKey, aValue);
    mChanged.notify_all();
    return mVersion;
  }
  std::uint64_t Version()
  {
    const std::lock_guard lock(mMutex);
    return mVersion;
  }
  std::uint64_t Calls()
  {
    const std::lock_guard lock(mMutex);
    return mCalls;
  }
  std::string Value(const std::string& aTable, const std::string& aKey)
  {
    const std::lock_guard lock(mMutex);
    const auto row = mState.mTables[aTable].find(aKey);
    return row == mState.mTables[aTable].end() ? "" : row->second.first;
  }

  /// Keeps a copy of all rows.
  void Copy()
  {
    const std::lock_guard lock(mMutex);
    mCopy = mState;
    mCopyVersion = mVersion;
  }
  /// Refuses all calls until `Restore`.
  void GoAway()
  {
    const std::lock_guard lock(mMutex);
    mIsAway = true;
    mChanged.notify_all();
  }
  /// Comes back from the copy, with the versions of that time. The rows of the operator and of the
  /// runners which have changed since are written again by their writers.
  void Restore()
  {
    const std::lock_guard lock(mMutex);
    const state newer = std::exchange(mState, mCopy);
    mVersion = mCopyVersion;
    ++mEra;
    for (const char* const table : { "op", "servers" }) {
      for (const auto& [key, row] :
           newer.mTables.count(table) > 0 ? newer.mTables.at(table) : rows{}) {
        const auto old = mState.mTables[table].find(key);
        if (old == mState.mTables[table].end() || old->second.first != row.first) {
          ++mVersion;
          Set(table, key, row.first);
        }
      }
    }
    mIsAway = false;
    mChanged.notify_all();
  }

private:
  using rows = std::map<std::string, std::pair<std::string, std::uint64_t>>;
  struct change
  {
    std::uint64_t mVersion;
    std::string mTable;
    std::string mKey;
  };
  struct state
  {
    std::map<std::string, rows> mTables;
    std::vector<change> mHistory;
  };

  void Set(const std::string& aTable, const std::string& aKey, const std::string& aValue)
  {
    if (aValue.empty()) {
      mState.mTables[aTable].erase(aKey);
    } else {
      mState.mTables[aTable][aKey] = { aValue, mVersion };
    }
    mState.mHistory.push_back({ mVersion, aTable, aKey });
  }

  static std::string Parameter(const std::string& aTarget, const std::string& aName)
  {
    for (const char mark : { '?', '&' }) {
      if (const auto at = aTarget.find(mark + aName + "="); at != std::string::npos) {
        const auto begin = at + aName.size() + 2;
        const std::string raw = aTarget.substr(begin, aTarget.find('&', begin) - begin);
        std::string text;
        for (std::size_t i = 0; i < raw.size(); ++i) {
          if (raw[i] == '%' && i + 2 < raw.size()) {
            text += static_cast<char>(std::strtol(raw.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
          } else {
            text += raw[i];
          }
        }
        return text;
      }
    }
    return {};
  }

  json RowOf(const std::string& aTable, const std::string& aKey,
             const std::pair<std::string, std::uint64_t>& aRow) const
  {
    return { { "table", aTable },
             { "part", "" },
             { "key", aKey },
             { "value", Base64(aRow.first) },
             { "rowVersion", aRow.second } };
  }

  std::string Reply(int aStatus, json aBody) const
  {
    aBody["rowVersion"] = mVersion;
    aBody["nowMs"] = static_cast<std::int64_t>(Seconds() * 1000) + 1000;
    return Answer(aStatus,
                  "Content-Type: application/json\r\nStore-Era: " + std::to_string(mEra) + "\r\n",
                  aBody.dump());
  }

  std::string Handle(const message& aRequest)
  {
    std::unique_lock lock(mMutex);
    ++mCalls;
    if (mIsAway) {
      return Answer(503, "Store-Era: " + std::to_string(mEra) + "\r\n", "");
    }
    const std::string target = aRequest.Target();
    const std::string path = target.substr(0, target.find('?'));
    const std::string table = Parameter(target, "table");
    // A call takes some milliseconds.
    lock.unlock();
    Sleep(0.004);
    lock.lock();
    if (path == "/rows-get") {
      json list = json::array();
      const std::string from = Parameter(target, "from");
      for (const auto& [key, row] : mState.mTables[table]) {
        if (key >= from) {
          list.push_back(RowOf(table, key, row));
        }
      }
      return Reply(200, { { "rows", std::move(list) }, { "hasMore", false } });
    }
    if (path == "/rows-feed") {
      const std::uint64_t after = std::stoull(Parameter(target, "after"));
      const double end = Seconds() + std::stod(Parameter(target, "waitMs")) / 1000;
      while (true) {
        if (mIsAway) {
          return Answer(503, "Store-Era: " + std::to_string(mEra) + "\r\n", "");
        }
        if (after > mVersion) {
          return Reply(410, json::object());
        }
        json list = json::array();
        std::set<std::string> seen;
        for (auto one = mState.mHistory.rbegin();
             one != mState.mHistory.rend() && one->mVersion > after; ++one) {
          if (one->mTable != table || !seen.insert(one->mKey).second) {
            continue;
          }
          const auto row = mState.mTables[table].find(one->mKey);
          if (row != mState.mTables[table].end()) {
            list.insert(list.begin(), RowOf(table, one->mKey, row->second));
          } else {
            list.insert(list.begin(), json{ { "table", table },
                                            { "part", "" },
                                            { "key", one->mKey },
                                            { "removed", true },
                                            { "rowVersion", one->mVersion } });
          }
        }
        if (!list.empty() || Seconds() >= end) {
          return Reply(200, { { "rows", std::move(list) } });
        }
        mChanged.wait_for(lock, std::chrono::duration<double>(std::max(0.001, end - Seconds())));
      }
    }
    if (path == "/rows-tx") {
      const json body = json::parse(aRequest.mBody, nullptr, false);
      json conflicts = json::array();
      bool holds = body.is_object();
      for (const json& row : body.value("expected", json::array())) {
        const auto& known = mState.mTables[row.at("table").get<std::string>()];
        const auto found = known.find(row.at("key").get<std::string>());
        const std::uint64_t version = found == known.end() ? 0 : found->second.second;
        holds = holds && version == row.at("rowVersion").get<std::uint64_t>();
      }
      if (!holds) {
        return Reply(412, { { "rows", std::move(conflicts) } });
      }
      ++mVersion;
      for (const json& row : body.value("writes", json::array())) {
        Set(row.at("table"), row.at("key"), Decode(row.at("value")));
      }
      for (const json& row : body.value("remove", json::array())) {
        Set(row.at("table"), row.at("key"), "");
      }
      mChanged.notify_all();
      return Reply(200, json::object());
    }
    return Answer(404, "", "");
  }

  static std::string Decode(const std::string& aText)
  {
    static const std::string kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    unsigned bits = 0;
    int count = 0;
    for (const char letter : aText) {
      const auto digit = kDigits.find(letter);
      if (digit == std::string::npos) {
        break;
      }
      bits = bits << 6U | static_cast<unsigned>(digit);
      count += 6;
      if (count >= 8) {
        count -= 8;
        out += static_cast<char>(bits >> count & 255U);
      }
    }
    return out;
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  state mState;
  state mCopy;
  std::uint64_t mVersion = 1;
  std::uint64_t mCopyVersion = 0;
  std::uint64_t mEra = 1;
  std::uint64_t mCalls = 0;
  bool mIsAway = false;
  server mServer;
};

/// A process of the gateway.
class gateway
{
public:
  gateway(std::string aProgram, const std::string& aFolder, std::string aName, json aSettings)
    : mProgram(std::move(aProgram))
    , mName(std::move(aName))
    , mSettingsPath(aFolder + "/" + mName + ".json")
    , mLogPath(aFolder + "/" + mName + ".log")
  {
    mFront = FreePorts(1);
    mReady = FreePorts(1);
    mControl = FreePorts(1);
    mInternal = FreePorts(2);
    aSettings["nodeName"] = mName;
    const auto at = [](int aPort) { return "127.0.0.1:" + std::to_string(aPort); };
    aSettings["listen"] = { { "front", at(mFront) },
                            { "ready", at(mReady) },
                            { "control", at(mControl) } };
    aSettings["internalPorts"] = { mInternal, mInternal + 1 };
    mSettings = aSettings;
  }
  ~gateway() { Kill(); }
  gateway(const gateway&) = delete;
  gateway& operator=(const gateway&) = delete;

  std::string Control() const { return "127.0.0.1:" + std::to_string(mControl); }
  int Front() const { return mFront; }
  int Pid() const { return mPid; }
  const std::string& Name() const { return mName; }
  json& Settings() { return mSettings; }

  void Start()
  {
    std::ofstream(mSettingsPath) << mSettings.dump();
    mPid = fork();
    if (mPid == 0) {
      const int log = open(mLogPath.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
      dup2(log, 1);
      dup2(log, 2);
      setenv("TAMARACKWEIR_BOOT", mSettingsPath.c_str(), 1);
      execl(mProgram.c_str(), mProgram.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
  }
  bool IsReady() const
  {
    const auto answer =
      Ask(mReady, "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 1);
    return answer && answer->Status() == 200;
  }
  bool AwaitReady(double aLimit) const
  {
    for (const double end = Seconds() + aLimit; Seconds() < end; Sleep(0.05)) {
      if (IsReady()) {
        return true;
      }
    }
    return false;
  }
  /// Whether the process has ended; how is in `aStatus`.
  bool HasEnded(int& aStatus)
  {
    if (mPid > 0 && waitpid(mPid, &aStatus, WNOHANG) == mPid) {
      mPid = 0;
      return true;
    }
    return mPid <= 0;
  }
  void Kill()
  {
    if (mPid > 0) {
      kill(mPid, SIGKILL);
      waitpid(mPid, nullptr, 0);
      mPid = 0;
    }
  }
  /// Memory of the process in MB: "VmRSS" now, or "VmHWM" at most.
  double MemoryMb(const std::string& aField) const
  {
    std::ifstream status("/proc/" + std::to_string(mPid) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.rfind(aField + ":", 0) == 0) {
        return std::atof(line.c_str() + aField.size() + 1) / 1024;
      }
    }
    return 0;
  }

private:
  std::string mProgram;
  std::string mName;
  std::string mSettingsPath;
  std::string mLogPath;
  json mSettings;
  int mFront = 0;
  int mReady = 0;
  int mControl = 0;
  int mInternal = 0;
  int mPid = 0;
};

/// A runner that answers calls with what a sound one would say: its id, the attempt and its seal.
class runner
{
public:
  struct options
  {
    std::string mService;
    std::string mId;
    std::function<std::string(const message&)> mBody; ///< of a success; none: a short text
    double mWorkS = 0.005;
    bool mIsEngine = false; ///< answers as a stream of events
  };
  runner(options aOptions, record& aRecord)
    : mOptions(std::move(aOptions))
    , mRecord(aRecord)
    , mServer(
        [this](connection& aLink, const message& aRequest) { return Handle(aLink, aRequest); })
  {
  }
  std::string Entry(const std::string& aState = "ready") const
  {
    return json{
      { "service", mOptions.mService },
      { "address", mServer.Address() },
      { "zone", "sapporo-a" },
      { "version", "v1" },
      { "slots", 128 },
      { "state", aState },
      { "coldRemainingMs", 0 },
      { "born", 1700000000000 },
      { "sequence", 1 }
    }.dump();
  }
  const std::string& Id() const { return mOptions.mId; }
  const std::string& Service() const { return mOptions.mService; }
  std::uint64_t Runs() const { return mRuns; }
  bool mIsQuiet = false; ///< its runs are not written to the record

private:
  bool Handle(connection& aLink, const message& aRequest)
  {
    const std::string target = aRequest.Target();
    if (target == "/healthz" || target == "/report") {
      return aLink.Write(Answer(
        200, "X-Instance-Id: " + mOptions.mId + "\r\n",
        json{ { "stage", "colocated" }, { "active", 0 }, { "born", 1700000000000 } }.dump()));
    }
    const std::string attempt = aRequest.Get("x-attempt-id");
    if (const std::string expected = aRequest.Get("x-expect-instance");
        !expected.empty() && expected != mOptions.mId) {
      return aLink.Write(Answer(421, "X-Not-Executed: 1\r\n", ""));
    }
    ++mRuns;
    if (!mIsQuiet) {
      mRecord.Line("run by ", mOptions.mService, " ", mOptions.mId, ": ", attempt, " ",
                   aRequest.Method(), " ", target);
    }
    Sleep(mOptions.mWorkS);
    const std::string head =
      "X-Attempt-Id: " + attempt + "\r\nX-Response-Seal: seal-" + attempt + "\r\n";
    if (mOptions.mIsEngine) {
      return aLink.Write(Answer(200, head + "Content-Type: text/event-stream\r\n",
                                "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"));
    }
    return aLink.Write(Answer(
      200, head, mOptions.mBody ? mOptions.mBody(aRequest) : mOptions.mService + " " + attempt));
  }

  options mOptions;
  record& mRecord;
  std::atomic<std::uint64_t> mRuns{ 0 };
  server mServer;
};

/// Settings of the small deployment kitamura-weir, without names and addresses.
inline json SettingsOf(const std::string& aStore)
{
  return { { "role", "gateway" },
           { "machineClass", "front" },
           { "serves", { "front", "control" } },
           { "ip", "127.0.0.1" },
           { "zone", "sapporo-a" },
           { "region", "hokkaido" },
           { "zones", { { "sapporo-a", "hokkaido" }, { "sapporo-b", "hokkaido" } } },
           { "seeds", json::array() },
           { "bootstrap", false },
           { "limits",
             { { "cpuShare", 0.25 },
               { "cores", 1 },
               { "memoryMb", 260 },
               { "maxFds", 4100 },
               { "linkMbps", 1000.0 },
               { "diskMb", 0 } } },
           { "heartbeatMs", 1200 },
           { "bounds",
             { { "stableWindowMs", 3000 },
               { "ackMs", 4000 },
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
               { "sessionS", 5 } } },
           { "platform", { { "address", aStore }, { "form", "table" }, { "rowBytes", 65536 } } } };
}

/// A new folder for the files of one run.
inline std::string TemporaryFolder()
{
  char path[] = "/tmp/review-2-XXXXXX";
  if (mkdtemp(path) == nullptr) {
    std::exit(2);
  }
  return path;
}

} // namespace review
