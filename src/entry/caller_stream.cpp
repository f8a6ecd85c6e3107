#include "entry/caller_stream.h"

#include "entry/http_support.h"
#include "net/loop.h"

#include <algorithm>
#include <netdb.h>
#include <poll.h>

namespace tamarackweir::entry {

namespace {

/// Between looks at the time and at the connections that wait.
constexpr duration kLookPause = 250ms;

/// Waits until the socket is ready for one of the events. Returns false at the limit.
bool AwaitSocket(int aSocket, short aEvents, duration aLimit)
{
  pollfd waited{ .fd = aSocket, .events = aEvents, .revents = 0 };
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(aLimit).count();
  return poll(&waited, 1, static_cast<int>(std::max<std::int64_t>(ms, 0))) > 0;
}

problem ProblemOf(read_end aEnd)
{
  switch (aEnd) {
    case read_end::HeaderTooLarge:
      return NotRun(431, "header-too-large", "The header is too large",
                    "send a shorter request line, and fewer or shorter header fields");
    case read_end::HeaderTooSlow:
      return NotRun(408, "header-too-slow", "The header did not arrive in time",
                    "send the whole header at once");
    case read_end::NoMemory:
      return NotRun(503, "memory-short", "The memory for requests is short",
                    "send a smaller request, or send it to another instance");
    case read_end::NotServed:
      return NotRun(404, "http", "The request can't be served",
                    "check the path, the method and the size of the request");
    case read_end::LineTooLong:
    case read_end::None:
      break;
  }
  return NotRun(400, "http", "The body is malformed", "check the chunks of the body");
}

void WriteAddress(const sockaddr_storage& aAddress, socklen_t aSize, std::string& aIp, int& aPort)
{
  std::array<char, NI_MAXHOST> host{};
  std::array<char, NI_MAXSERV> port{};
  if (getnameinfo(reinterpret_cast<const sockaddr*>(&aAddress), aSize, host.data(), host.size(),
                  port.data(), port.size(), NI_NUMERICHOST | NI_NUMERICSERV) == 0) {
    aIp = host.data();
    aPort = std::atoi(port.data()); // NOLINT: getnameinfo has written a number.
  }
}

} // namespace

caller_stream::caller_stream(int aSocket, body_memory& aMemory, const caller_load& aLoad,
                             const caller_stream_options& aOptions)
  : mSocket(aSocket)
  , mLoad(aLoad)
  , mOptions(aOptions)
  , mHeader(aMemory, aSocket)
{
}

bool caller_stream::AwaitRequest(const std::function<bool()>& aIsStopped)
{
  mHeader.Release();
  mProgress = { .mBegan = net::Now() };
  while (!HasBuffered() && !AwaitSocket(mSocket, POLLIN, kLookPause)) {
    const time_point now = net::Now();
    if (aIsStopped() || now - mProgress.mBegan >= mOptions.mIdleTime ||
        IsHeaderLate(mProgress, mOptions.mLimits, mLoad.IsCrowded(), now)) {
      return false;
    }
  }
  mProgress.mBegan = net::Now();
  return !aIsStopped();
}

void caller_stream::OnHeaderRead()
{
  mProgress.mIsHeaderRead = true;
  mHeader.Finish();
  if (mHeader.IsGivenUp()) {
    Refuse(read_end::NoMemory);
  }
}

void caller_stream::Refuse(read_end aEnd)
{
  if (mIsRefused) {
    return;
  }
  const problem refusal = ProblemOf(aEnd);
  const std::string body = ToJson(refusal);
  const std::string answer =
    "HTTP/1.1 " + std::to_string(refusal.mStatus) + " " + refusal.mTitle +
    "\r\nContent-Type: application/problem+json\r\nConnection: close\r\nContent-Length: " +
    std::to_string(body.size()) + "\r\n\r\n" + body;
  (void)Send(answer.data(), answer.size()); // The connection ends either way.
  mIsRefused = true;
  if (mOptions.mOnRefusal) {
    mOptions.mOnRefusal(aEnd, mProgress.mHeaderBytes);
  }
}

bool caller_stream::is_readable() const
{
  return HasBuffered() || AwaitSocket(mSocket, POLLIN, mOptions.mReadTime);
}

bool caller_stream::is_writable() const
{
  if (mIsRefused || !AwaitSocket(mSocket, POLLOUT, mOptions.mReadTime)) {
    return false;
  }
  // A caller that has closed the connection reads nothing more.
  char next = 0;
  return HasBuffered() || !AwaitSocket(mSocket, POLLIN, duration::zero()) ||
         recv(mSocket, &next, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

ssize_t caller_stream::read(char* aBytes, std::size_t aSize)
{
  if (mIsRefused) {
    return -1;
  }
  if (aSize == 1) {
    return ReadLineByte(aBytes);
  }
  if (!HasBuffered()) {
    if (const ssize_t got = Fill(); got <= 0) {
      return got;
    }
  }
  const std::size_t taken = std::min(aSize, mEnd - mBegin);
  std::copy_n(mBuffer.begin() + mBegin, taken, aBytes);
  mBegin += taken;
  return static_cast<ssize_t>(taken);
}

ssize_t caller_stream::ReadLineByte(char* aByte)
{
  if (!HasBuffered()) {
    if (const ssize_t got = Fill(); got <= 0) {
      // The library takes a line that the end of the connection cuts for a whole one.
      return mProgress.mHeaderBytes > 0 ? -1 : got;
    }
  }
  *aByte = mBuffer[mBegin++];
  read_end end = OnLineByte(mProgress, *aByte, mOptions.mLimits);
  if (end == read_end::None && !mProgress.mIsHeaderRead && !mHeader.Grow(HeaderMemory(mProgress))) {
    end = read_end::NoMemory;
  }
  if (end != read_end::None) {
    Refuse(end);
    return -1;
  }
  return 1;
}

ssize_t caller_stream::Fill()
{
  const time_point began = net::Now();
  while (!AwaitSocket(mSocket, POLLIN, kLookPause)) {
    const time_point now = net::Now();
    if (IsHeaderLate(mProgress, mOptions.mLimits, mLoad.IsCrowded(), now)) {
      Refuse(read_end::HeaderTooSlow);
      return -1;
    }
    if (now - began >= mOptions.mReadTime) {
      return -1;
    }
  }
  // A caller that sends a byte now and then never lets the wait above last.
  if (IsHeaderLate(mProgress, mOptions.mLimits, mLoad.IsCrowded(), net::Now())) {
    Refuse(read_end::HeaderTooSlow);
    return -1;
  }
  const ssize_t got = recv(mSocket, mBuffer.data(), mBuffer.size(), 0);
  mBegin = 0;
  mEnd = static_cast<std::size_t>(std::max<ssize_t>(got, 0));
  if (got == 0 && !mProgress.mIsHeaderRead && mHeader.IsGivenUp()) {
    Refuse(read_end::NoMemory);
    return -1;
  }
  return got;
}

ssize_t caller_stream::write(const char* aBytes, std::size_t aSize)
{
  return is_writable() ? Send(aBytes, aSize) : -1;
}

ssize_t caller_stream::Send(const char* aBytes, std::size_t aSize) const
{
  return send(mSocket, aBytes, aSize, MSG_NOSIGNAL);
}

void caller_stream::get_remote_ip_and_port(std::string& aIp, int& aPort) const
{
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  if (getpeername(mSocket, reinterpret_cast<sockaddr*>(&address), &size) == 0) {
    WriteAddress(address, size, aIp, aPort);
  }
}

void caller_stream::get_local_ip_and_port(std::string& aIp, int& aPort) const
{
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  if (getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &size) == 0) {
    WriteAddress(address, size, aIp, aPort);
  }
}

} // namespace tamarackweir::entry
