#pragma once

#include "net/byte_budget.h"

#include <memory>
#include <mutex>
#include <string>

namespace tamarackweir::entry {

/// The memory for the headers and bodies of all callers, used by the threads that read them.
struct body_memory
{
  explicit body_memory(std::size_t aLimit) { mBudget->mLimit = aLimit; }

  /// Bytes that are held now.
  std::size_t Used()
  {
    const std::lock_guard lock(mMutex);
    return mBudget->mUsed;
  }

  std::mutex mMutex; ///< guards the budget, its claims and what may give way
  std::shared_ptr<net::byte_budget> mBudget = std::make_shared<net::byte_budget>();
};

/// A body that is read within the memory for all. When memory is short, the body that is the
/// costliest by size and time is dropped.
class held_body
{
public:
  explicit held_body(body_memory& aMemory);
  ~held_body();
  held_body(const held_body&) = delete;
  held_body& operator=(const held_body&) = delete;

  /// Appends bytes, or drops them with the whole body if there is no memory for them.
  void Append(const char* aBytes, std::size_t aSize);
  /// Ends the reading: the body is not dropped any more. Returns whether it is whole.
  bool Finish();
  /// Bytes that have arrived, also of a body that was dropped.
  std::size_t Arrived() const { return mArrived; }
  /// Valid after `Finish`.
  const std::string& Text() const { return mText; }

private:
  void Drop();

  body_memory& mMemory;
  net::byte_claim mClaim;
  std::string mText;
  std::size_t mArrived = 0;
  bool mIsDropped = false;
};

/// The memory for a header. While it is read it may give way; then its connection's reading end is
/// closed, which wakes the thread that reads.
class held_header
{
public:
  held_header(body_memory& aMemory, int aSocket);
  ~held_header();
  held_header(const held_header&) = delete;
  held_header& operator=(const held_header&) = delete;

  /// Claims memory for a header that now takes `aBytes`. Returns false if there is none.
  bool Grow(std::size_t aBytes);
  /// Ends the reading: the header does not give way any more.
  void Finish();
  /// Returns the memory, for the next request of the connection.
  void Release();
  /// Whether the header has given way to others.
  bool IsGivenUp();

private:
  body_memory& mMemory;
  int mSocket;
  std::size_t mClaimed = 0;
  net::byte_claim mClaim;
};

} // namespace tamarackweir::entry
