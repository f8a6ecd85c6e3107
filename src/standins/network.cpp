#include "standins/network.h"

#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <utility>

namespace tamarackweir::standins {

namespace {

int PortOf(int aSocket, int (*aName)(int, sockaddr*, socklen_t*))
{
  sockaddr_storage address{};
  socklen_t length = sizeof(address);
  if (aName(aSocket, reinterpret_cast<sockaddr*>(&address), &length) != 0 ||
      address.ss_family != AF_INET) {
    return -1;
  }
  return ntohs(reinterpret_cast<const sockaddr_in*>(&address)->sin_port);
}

int DescriptorLimit()
{
  // Descriptors are allocated from the lowest free number, so a scan up to here is enough for a
  // few thousand connections even where the limit is in the millions.
  constexpr rlim_t kMost = 16384;
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return static_cast<int>(std::min(limit.rlim_cur, kMost));
}

} // namespace

void growing_pool::enqueue(std::function<void()> aTask)
{
  const std::lock_guard lock(mMutex);
  mTasks.push_back(std::move(aTask));
  if (mIdle < mTasks.size() && mThreads.size() < mLimit) {
    mThreads.emplace_back([this] { Work(); });
  }
  mChanged.notify_one();
}

void growing_pool::shutdown()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_all();
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

void growing_pool::Work()
{
  std::unique_lock lock(mMutex);
  for (;;) {
    ++mIdle;
    mChanged.wait(lock, [this] { return mStopping || !mTasks.empty(); });
    --mIdle;
    if (mTasks.empty()) {
      return;
    }
    const std::function<void()> task = std::move(mTasks.front());
    mTasks.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

int FindSocket(const httplib::Request& aRequest)
{
  const int limit = DescriptorLimit();
  for (int candidate = 0; candidate < limit; ++candidate) {
    if (PortOf(candidate, getpeername) == aRequest.remote_port &&
        PortOf(candidate, getsockname) == aRequest.local_port) {
      return candidate;
    }
  }
  return -1;
}

bool IsClosedByPeer(int aSocket)
{
  char byte = 0;
  return recv(aSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void DropConnection(const httplib::Request& aRequest)
{
  if (const int found = FindSocket(aRequest); found >= 0) {
    shutdown(found, SHUT_RDWR);
  }
}

void EndReading(int aLocalPort)
{
  const int limit = DescriptorLimit();
  for (int candidate = 0; candidate < limit; ++candidate) {
    if (PortOf(candidate, getsockname) == aLocalPort && PortOf(candidate, getpeername) >= 0) {
      shutdown(candidate, SHUT_RD);
    }
  }
}

} // namespace tamarackweir::standins
