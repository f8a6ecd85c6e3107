#include "entry/body_memory.h"

namespace tamarackweir::entry {

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

} // namespace tamarackweir::entry
