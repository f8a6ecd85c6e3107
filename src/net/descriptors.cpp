#include "net/descriptors.h"

#include "observe/event_log.h"

#include <algorithm>
#include <sys/resource.h>

namespace tamarackweir::net {

namespace {

constexpr rlim_t kReservedPart = 4; ///< a quarter of the limit

constexpr duration kLogPeriod = 1s;

} // namespace

bool IsInReserve(int aDescriptor)
{
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
         static_cast<rlim_t>(aDescriptor) >= limit.rlim_cur - limit.rlim_cur / kReservedPart;
}

bool IsShortOfDescriptors(const error_code& aFailure)
{
  return aFailure == boost::system::errc::too_many_files_open ||
         aFailure == boost::system::errc::too_many_files_open_in_system;
}

descriptor_relief& descriptor_relief::Of(const asio::any_io_executor& aExecutor)
{
  return asio::use_service<descriptor_relief>(asio::query(aExecutor, asio::execution::context));
}

void descriptor_relief::Add(const void* aOwner, std::function<bool()> aFree)
{
  mSources.push_back({ .mOwner = aOwner, .mFree = std::move(aFree) });
}

void descriptor_relief::Remove(const void* aOwner)
{
  std::erase_if(mSources, [aOwner](const source& aSource) { return aSource.mOwner == aOwner; });
}

bool descriptor_relief::Free(const char* aNeededFor)
{
  const bool isFreed = std::any_of(mSources.begin(), mSources.end(),
                                   [](const source& aSource) { return aSource.mFree(); });
  ++(isFreed ? mFreed : mShort);
  if (const time_point now = Now(); !mLogged || now - *mLogged >= kLogPeriod) {
    observe::event_line("descriptors_short")
      .Text("for", aNeededFor)
      .Number("closed_idle", mFreed)
      .Number("none_idle", mShort)
      .Write();
    mLogged = now;
    mFreed = 0;
    mShort = 0;
  }
  return isFreed;
}

} // namespace tamarackweir::net
