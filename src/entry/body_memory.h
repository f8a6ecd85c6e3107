#pragma once

#include "net/byte_budget.h"

#include <memory>
#include <mutex>
#include <string>

namespace tamarackweir::entry {

/// The memory for the bodies of all callers, used by the threads that read them.
struct body_memory
{
  explicit body_memory(std::size_t aLimit) { mBudget->mLimit = aLimit; }

  std::mutex mMutex; ///< guards the budget, its claims and the bodies that may give way
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
  /// Valid after `Finish`.
  const std::string& Text() const { return mText; }

private:
  void Drop();

  body_memory& mMemory;
  net::byte_claim mClaim;
  std::string mText;
  bool mIsDropped = false;
};

} // namespace tamarackweir::entry
