#include "entry/bounded_server.h"

#include <unistd.h>

namespace tamarackweir::entry {

namespace {

/// The library's threads, with a count of the connections that have one and that wait for one.
class counting_pool : public httplib::ThreadPool
{
public:
  counting_pool(std::size_t aThreads, caller_load& aLoad)
    : ThreadPool(aThreads)
    , mLoad(aLoad)
  {
  }

  void enqueue(std::function<void()> aConnection) override // NOLINT: the library's name
  {
    ++mLoad.mWaiting;
    ThreadPool::enqueue([&load = mLoad, connection = std::move(aConnection)] {
      ++load.mRunning;
      --load.mWaiting;
      connection();
      --load.mRunning;
    });
  }

private:
  caller_load& mLoad;
};

} // namespace

bounded_server::bounded_server(body_memory& aMemory, bounded_server_options aOptions)
  : mMemory(aMemory)
  , mBounds(std::move(aOptions))
{
  mLoad.mThreads = mBounds.mThreads;
  new_task_queue = [this] { return new counting_pool(mBounds.mThreads, mLoad); };
}

bool bounded_server::process_and_close_socket(socket_t aSocket)
{
  bool isAnswered = false;
  {
    caller_stream stream(aSocket, mMemory, mLoad, mBounds.mStream);
    const auto isStopped = [this] { return svr_sock_ == INVALID_SOCKET; };
    bool isHeaderRead = false;
    const auto onHeader = [&](httplib::Request& aRequest) {
      isHeaderRead = true;
      stream.OnHeaderRead();
      if (mBounds.mIsServed && !mBounds.mIsServed(aRequest)) {
        stream.Refuse(read_end::NotServed);
      }
      if (stream.IsRefused()) {
        // No handler takes it.
        aRequest.method = "REFUSED";
        aRequest.path = "/";
      }
    };
    bool isClosed = false;
    for (std::size_t left = mBounds.mRequestsPerConnection; left > 0 && !isClosed; --left) {
      if (!stream.AwaitRequest(isStopped)) {
        break;
      }
      isHeaderRead = false;
      isAnswered = process_request(stream, left == 1, isClosed, onHeader);
      // Behind a header that the library gave up, its rest would be taken for a request.
      isClosed = isClosed || !isAnswered || !isHeaderRead || stream.IsRefused();
    }
  }
  shutdown(aSocket, SHUT_RDWR);
  close(aSocket);
  return isAnswered;
}

} // namespace tamarackweir::entry
