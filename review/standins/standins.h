#pragma once

// Small stand-ins of the platform, for the scripts of the review: store, runners, clients, and the
// supervisor that starts the project's gateways. They speak what PROTOCOL.md and DEPLOY.md say, on
// loopback addresses, with a thread for each connection.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using nlohmann::json;

/// Seconds since the start of the trial.
double Now();
void Sleep(double aSeconds);

/// The record of a trial: one line for each thing that was sent, run or answered.
class record
{
public:
  explicit record(const std::string& aPath);
  ~record();
  void Line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)));

private:
  std::mutex mMutex;
  FILE* mFile;
};

/// An address on the loopback interface.
struct endpoint
{
  std::string mIp;
  std::uint16_t mPort = 0;

  std::string Text() const { return mIp + ":" + std::to_string(mPort); }
};

/// A listening socket on `aIp`; on any free port if `aPort` is 0. Returns -1 if it is taken.
int Listen(const std::string& aIp, std::uint16_t& aPort);
/// A connected socket, or -1.
/// \param aReceiveBuffer bytes that the kernel keeps for a reader that is slow; 0: as the system
/// sets it
int Connect(const endpoint& aTo, double aLimitS, int aReceiveBuffer = 0);

struct message
{
  std::string mFirst; ///< request or status line
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;
  bool mIsWhole = false;

  /// The value of a header by its name in lower case; nothing if it is absent.
  std::optional<std::string> Header(const std::string& aName) const;
  std::string Method() const;
  std::string Target() const;
  int Status() const;
};

/// A connection that reads HTTP/1.1 messages.
class connection
{
public:
  explicit connection(int aSocket)
    : mSocket(aSocket)
  {
  }
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  bool Send(std::string_view aBytes);
  /// Reads a message until `aUntil`. Returns false if no header was read whole.
  bool ReadRequest(message& aMessage, double aUntil);
  bool ReadAnswer(message& aMessage, double aUntil);
  /// Whether the peer has closed the connection.
  bool IsClosed();
  /// Makes the next close a reset.
  void ResetOnClose();
  void Shutdown();

  int mSocket;

private:
  bool Fill(double aUntil);
  bool ReadHead(message& aMessage, double aUntil);
  void ReadBody(message& aMessage, bool aIsAnswer, double aUntil);

  std::string mBuffer;
};

/// Accepts connections and calls a handler for each request, which returns whether the connection
/// is kept.
class server
{
public:
  using handler = std::function<bool(connection&, const message&)>;

  server(std::string aIp, std::uint16_t aPort, handler aHandler);
  ~server();
  endpoint Address() const { return mAddress; }
  /// Ends as a crash does: no new connections, and resets of those that are open.
  void Crash();
  /// Listens again on the same address.
  void Restart();

private:
  void Accept(int aListener);
  void Serve(int aSocket);

  endpoint mAddress;
  handler mHandler;
  std::mutex mMutex;
  int mListener = -1;
  std::set<int> mOpen;
};

/// The platform's store: rows in tables, feeds and transactions.
class store
{
public:
  explicit store(const std::string& aIp);
  endpoint Address() const { return mServer->Address(); }
  void Put(const std::string& aTable, const std::string& aKey, const json& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);
  /// Puts a row whose bytes need not be JSON.
  void PutBytes(const std::string& aTable, const std::string& aKey, const std::string& aBytes);

private:
  struct row
  {
    std::string mValue;
    std::uint64_t mVersion = 0;
    bool mIsRemoved = false;
  };

  bool Handle(connection& aPeer, const message& aRequest);
  json RowsAfter(const std::string& aTable, std::uint64_t aAfter, bool aWithRemoved,
                 const std::string& aFrom);
  std::pair<int, json> Transact(const json& aCall);

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, std::map<std::string, row>> mTables;
  std::uint64_t mVersion = 1;
  std::unique_ptr<server> mServer;
};

/// What a runner does with a request that it runs. Returns whether the connection is kept.
class runner;
using work = std::function<bool(runner&, connection&, const message&)>;

/// A runner: registers itself, checks `X-Expect-Instance`, has slots, and runs what it accepts.
class runner
{
public:
  runner(store& aStore, record& aRecord, std::string aName, std::string aService, std::string aIp,
         std::string aZone, int aSlots, work aWork);
  /// Crashes; is back after `aDownS` as a new incarnation with a new id. The entry of the old one
  /// lapses after three heartbeats.
  void Crash(double aDownS);
  std::string Name() const { return mName; }
  std::string Id();
  bool IsUp() const { return mIsUp; }
  /// Registers the runner in the store.
  void Announce();

private:
  bool Handle(connection& aPeer, const message& aRequest);

  store& mStore;
  record& mRecord;
  std::string mName;
  std::string mService;
  std::string mZone;
  int mSlots;
  work mWork;
  std::mutex mMutex;
  std::condition_variable mFreed;
  std::string mId;
  int mIncarnation = 0;
  int mBusy = 0;
  int mQueued = 0;
  std::atomic<bool> mIsUp{ true };
  std::unique_ptr<server> mServer;
};

/// The head of a runner's answer.
std::string AnswerHead(const message& aRequest, int aStatus, const std::string& aMore);
/// A whole answer of a runner.
std::string Answer(const message& aRequest, int aStatus, const std::string& aBody);
/// Works for `aSeconds`, or until the peer has left. Returns whether the peer is still there.
bool Work(connection& aPeer, double aSeconds);

/// A gateway process on a machine of the platform, with the checks of the platform.
class machine
{
public:
  /// \param aSettings fields that replace those of the usual settings
  machine(record& aRecord, const endpoint& aStore, const std::string& aFolder,
          const std::string& aName, const std::string& aIp, const std::string& aZone,
          std::uint16_t aBasePort, const std::vector<std::string>& aSeeds, const json& aBounds,
          int aMemoryMb);
  ~machine();
  endpoint Front() const { return { mIp, mBasePort }; }
  std::string Name() const { return mName; }
  /// Whether the platform sends new connections here.
  bool IsReady() const { return mIsReady; }
  int EndsByItself() const { return mEnds; }
  /// Ends the process and the supervision.
  void Stop();

private:
  void Start();
  void Supervise();
  void CheckReadiness();

  record& mRecord;
  std::string mFolder;
  std::string mName;
  std::string mIp;
  std::uint16_t mBasePort;
  std::int64_t mMemoryBytes;
  std::atomic<bool> mIsEnding{ false };
  std::atomic<bool> mIsReady{ false };
  std::atomic<int> mEnds{ 0 };
  std::mutex mMutex;
  pid_t mProcess = -1;
  std::thread mSupervisor;
  std::thread mChecker;
};

/// A base port that is free, with the ports that follow it, on all of `aIps`; below those that the
/// system gives to connections.
std::uint16_t FreeBasePort(const std::vector<std::string>& aIps);

/// The answer to a client, as far as it arrived.
struct answer
{
  int mStatus = 0; ///< 0: the connection ended without an answer, or the client gave up
  bool mIsWhole = false;
  bool mGaveUp = false;
  message mMessage;
};

/// Sends one client attempt on a connection of its own and waits for the answer until its deadline.
answer Call(const endpoint& aFront, const std::string& aBytes, double aDeadlineS);
/// A request as a client sends it.
std::string Request(const std::string& aMethod, const std::string& aHost,
                    const std::string& aTarget, const std::string& aAttempt, int aDeadlineMs,
                    const std::string& aKey, const std::string& aMoreHeaders,
                    const std::string& aBody);
/// A new id of a client attempt.
std::string NewAttempt();

/// A random number in [0, 1).
double Random();

/// Whether the trial plays the disruption: the variable `TROUBLE` is not 0.
bool HasTrouble();

/// Result of a script: its exit code.
enum outcome
{
  kHeld = 0,
  kBroken = 1,
  kCouldNotRun = 2,
};

/// Ends the trial without waiting for the threads of connections.
[[noreturn]] void End(outcome aOutcome);

} // namespace review
