#include "entry/body_memory.h"

#include <sys/socket.h>

namespace tamarackweir::entry {

namespace {

/// Headers are claimed in steps of this, so that an ordinary one takes the lock once.
constexpr std::size_t kHeaderStep = 4096;

} // namespace

held_body::held_body(body_memory& aMemory)
  : mMemory(aMemory)
{
  const std::lock_guard lock(mMemory.mMutex);
  mClaim = net::byte_claim(mMemory.mBudget);
  mClaim.OnGiveWay([this] { Drop(); });
}

held_body::~held_body()
{
  const std::lock_guard lock(mMemory.mMutex);
  mClaim = net::byte_claim();
}

void held_body::Append(const char* aBytes, std::size_t aSize)
{
  mArrived += aSize;
  const std::lock_guard lock(mMemory.mMutex);
  if (!mIsDropped && mClaim.TryResize(mText.size() + aSize, net::Now())) {
    mText.append(aBytes, aSize);
  } else {
    Drop();
  }
}

bool held_body::Finish()
{
  const std::lock_guard lock(mMemory.mMutex);
  mClaim.OnGiveWay(nullptr);
  return !mIsDropped;
}

void held_body::Drop()
{
  mIsDropped = true;
  std::string().swap(mText);
  (void)mClaim.TryResize(0);
}

held_header::held_header(body_memory& aMemory, int aSocket)
  : mMemory(aMemory)
  , mSocket(aSocket)
{
}

held_header::~held_header()
{
  Release();
}

bool held_header::Grow(std::size_t aBytes)
{
  if (aBytes <= mClaimed) {
    return true;
  }
  const std::size_t steps = (aBytes + kHeaderStep - 1) / kHeaderStep;
  const std::lock_guard lock(mMemory.mMutex);
  if (mClaimed == 0) {
    mClaim = net::byte_claim(mMemory.mBudget);
    mClaim.OnGiveWay([this] { shutdown(mSocket, SHUT_RD); });
  }
  if (!mClaim.TryResize(steps * kHeaderStep, net::Now())) {
    return false;
  }
  mClaimed = steps * kHeaderStep;
  return true;
}

void held_header::Finish()
{
  const std::lock_guard lock(mMemory.mMutex);
  mClaim.OnGiveWay(nullptr);
}

void held_header::Release()
{
  const std::lock_guard lock(mMemory.mMutex);
  mClaim = net::byte_claim();
  mClaimed = 0;
}

bool held_header::IsGivenUp()
{
  const std::lock_guard lock(mMemory.mMutex);
  return mClaim.IsGivenUp();
}

} // namespace tamarackweir::entry
