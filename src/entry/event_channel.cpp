#include "entry/event_channel.h"

#include <chrono>

namespace tamarackweir::entry {

bool event_channel::Start(const std::map<std::string, std::string>& aHeaders)
{
  const std::lock_guard lock(mMutex);
  mHeaders = aHeaders;
  mStarted = true;
  mChanged.notify_all();
  return !mCancelled;
}

bool event_channel::Write(const std::string& aBytes)
{
  std::unique_lock lock(mMutex);
  mChanged.wait(lock, [this] { return mCancelled || mPieces.size() < kCapacity; });
  if (mCancelled) {
    return false;
  }
  mPieces.push_back(aBytes);
  mChanged.notify_all();
  return true;
}

void event_channel::Finish()
{
  const std::lock_guard lock(mMutex);
  mFinished = true;
  mChanged.notify_all();
}

void event_channel::Cancel()
{
  const std::lock_guard lock(mMutex);
  mCancelled = true;
  mChanged.notify_all();
}

std::optional<std::map<std::string, std::string>> event_channel::AwaitStart()
{
  std::unique_lock lock(mMutex);
  mChanged.wait(lock, [this] { return mStarted || mFinished; });
  if (!mStarted) {
    return std::nullopt;
  }
  return mHeaders;
}

event_channel::read_state event_channel::Read(std::string& aBytes)
{
  std::unique_lock lock(mMutex);
  mChanged.wait_for(lock, std::chrono::seconds(1),
                    [this] { return mFinished || !mPieces.empty(); });
  if (mPieces.empty()) {
    return mFinished ? read_state::Finished : read_state::Waiting;
  }
  aBytes.clear();
  for (const std::string& piece : mPieces) {
    aBytes += piece;
  }
  mPieces.clear();
  mChanged.notify_all();
  return read_state::Bytes;
}

} // namespace tamarackweir::entry
