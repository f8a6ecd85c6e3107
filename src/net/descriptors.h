#pragma once

#include "net/loop.h"

#include <functional>
#include <optional>
#include <vector>

namespace tamarackweir::net {

/// Whether a descriptor that was just opened shows that no more than the part of the limit is left
/// that is kept for connections to servers. The system gives the lowest free number.
bool IsInReserve(int aDescriptor);

/// Whether an operation failed because the process, or the machine, has no descriptor left.
bool IsShortOfDescriptors(const error_code& aFailure);

/// What an event loop can do when descriptors run short.
class descriptor_relief : public asio::execution_context::service
{
public:
  using key_type = descriptor_relief;
  inline static asio::execution_context::id id; // NOLINT(readability-identifier-naming): of Asio

  explicit descriptor_relief(asio::execution_context& aContext)
    : asio::execution_context::service(aContext)
  {
  }
  static descriptor_relief& Of(const asio::any_io_executor& aExecutor);

  /// Adds a function that frees a descriptor, and returns whether it could. It is removed by
  /// `Remove` with the same owner.
  void Add(const void* aOwner, std::function<bool()> aFree);
  void Remove(const void* aOwner);

  /// Frees a descriptor, and returns whether one could be freed. Logs one line a second at most.
  bool Free(const char* aNeededFor);

private:
  struct source
  {
    const void* mOwner;
    std::function<bool()> mFree;
  };

  void shutdown() override {} // NOLINT(readability-identifier-naming): of Asio

  std::vector<source> mSources;
  std::optional<time_point> mLogged;
  std::int64_t mFreed = 0; ///< since the last line
  std::int64_t mShort = 0; ///< since the last line: times when nothing could be freed
};

} // namespace tamarackweir::net
