#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace tamarackweir::entry {

/// Carries a streamed answer from the thread that runs the request to the thread that writes to the
/// caller.
class event_channel
{
public:
  /// Opens the stream with its headers. Returns false if the caller has left.
  bool Start(const std::map<std::string, std::string>& aHeaders);

  /// Adds bytes; waits while `kCapacity` pieces are unread, so that a slow caller slows down its
  /// engine. Returns false if the caller has left.
  bool Write(const std::string& aBytes);

  /// No more bytes follow. Never blocks.
  void Finish();

  /// The caller has left; a blocked writer returns.
  void Cancel();

  /// Waits until the stream is open or finished; returns the headers, or nothing if it finished
  /// without opening.
  std::optional<std::map<std::string, std::string>> AwaitStart();

  /// What a read came to.
  enum class read_state
  {
    Bytes,   ///< `aBytes` holds all that was unread
    Waiting, ///< nothing came within the time; ask again
    Finished,
  };

  /// Waits up to a second for bytes, so that the reader can look whether its caller is still there.
  read_state Read(std::string& aBytes);

private:
  static constexpr std::size_t kCapacity = 64;

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<std::string> mPieces;
  std::map<std::string, std::string> mHeaders;
  bool mStarted = false;
  bool mFinished = false;
  bool mCancelled = false;
};

} // namespace tamarackweir::entry
