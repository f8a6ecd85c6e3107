#pragma once

#include "base/problem.h"
#include "entry/body_memory.h"
#include "entry/read_limits.h"

#include <array>
#include <atomic>
#include <functional>
#include <httplib.h>
#include <string>

namespace tamarackweir::entry {

/// Connections of callers that have a thread, and that wait for one.
struct caller_load
{
  std::size_t mThreads = 0;
  std::atomic<std::size_t> mRunning = 0;
  std::atomic<std::size_t> mWaiting = 0;

  bool IsCrowded() const { return mWaiting > 0 && mRunning >= mThreads; }
};

/// What the connections of callers share.
struct caller_stream_options
{
  read_limits mLimits;
  duration mIdleTime = 5s;  ///< without a request
  duration mReadTime = 30s; ///< without a byte, and without room for one
  /// Called for each request that is refused before its body is read, with the bytes of its header
  /// that have arrived.
  std::function<void(read_end, std::size_t)> mOnRefusal;
};

/// The connection of a caller, from which the library reads lines byte by byte and bodies in
/// blocks. The library bounds neither a line nor a header, so that they are bounded here: a request
/// over a limit is answered here, and all later reads and writes fail.
class caller_stream : public httplib::Stream
{
public:
  /// \param aSocket stays the caller's of this constructor, and outlives the stream
  caller_stream(int aSocket, body_memory& aMemory, const caller_load& aLoad,
                const caller_stream_options& aOptions);

  /// Waits for the first byte of the next request. Returns false if the connection is to be closed.
  /// \param aIsStopped whether the server stops
  bool AwaitRequest(const std::function<bool()>& aIsStopped);
  /// The library has read the header.
  void OnHeaderRead();
  /// Answers the request in place of the library, and ends the connection.
  void Refuse(read_end aEnd);
  bool IsRefused() const { return mIsRefused; }

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* aBytes, std::size_t aSize) override;
  ssize_t write(const char* aBytes, std::size_t aSize) override;
  void get_remote_ip_and_port(std::string& aIp, int& aPort) const override;
  void get_local_ip_and_port(std::string& aIp, int& aPort) const override;
  socket_t socket() const override { return mSocket; }

private:
  bool HasBuffered() const { return mBegin < mEnd; }
  /// Reads into the buffer; the result is that of `recv`. A header that is late is refused.
  ssize_t Fill();
  ssize_t ReadLineByte(char* aByte);
  ssize_t Send(const char* aBytes, std::size_t aSize) const;

  int mSocket;
  const caller_load& mLoad;
  const caller_stream_options& mOptions;
  held_header mHeader;
  read_progress mProgress;
  std::array<char, 4096> mBuffer{}; ///< bytes between mBegin and mEnd are not read yet
  std::size_t mBegin = 0;
  std::size_t mEnd = 0;
  bool mIsRefused = false;
};

} // namespace tamarackweir::entry
