#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <thread>
#include <vector>

namespace tamarackweir::standins {

/// A task queue for `httplib::Server` whose threads are created when no thread is idle.
///
/// A fixed pool that carries 300 streams would need 300 threads per stand-in from the start.
class growing_pool : public httplib::TaskQueue
{
public:
  /// \param aLimit most threads; further connections wait in a queue
  explicit growing_pool(std::size_t aLimit)
    : mLimit(aLimit)
  {
  }

  void enqueue(std::function<void()> aTask) override; // NOLINT(readability-identifier-naming)
  void shutdown() override;                           // NOLINT(readability-identifier-naming)

private:
  void Work();

  std::size_t mLimit;
  std::size_t mIdle = 0;
  bool mStopping = false;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<std::function<void()>> mTasks;
  std::vector<std::thread> mThreads;
};

/// Returns the descriptor of the server's end of the request's connection, or -1.
///
/// cpp-httplib doesn't hand it out, but only the descriptor allows closing without an answer.
int FindSocket(const httplib::Request& aRequest);

/// Returns whether the peer has closed the connection.
bool IsClosedByPeer(int aSocket);

/// Breaks the request's connection, so that the caller gets no answer.
void DropConnection(const httplib::Request& aRequest);

/// Ends reading on all accepted connections of a port; answers under way can still be written.
void EndReading(int aLocalPort);

} // namespace tamarackweir::standins
