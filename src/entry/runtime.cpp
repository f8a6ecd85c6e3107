#include "entry/runtime.h"

#include "entry/actor_messages.h"

namespace tamarackweir::entry {

time_point Now(caf::actor_system& aSystem)
{
  return time_point(std::chrono::duration_cast<duration>(aSystem.clock().now().time_since_epoch()));
}

control::request_reply Ask(const runtime& aRuntime, control::request_event aEvent,
                           duration aTimeout)
{
  caf::scoped_actor self(aRuntime.mSystem);
  control::request_reply result;
  self
    ->request(aRuntime.mControl, aTimeout,
              request_message{ std::make_shared<const control::request_event>(std::move(aEvent)) })
    .receive([&](const reply_message& aReply) { result = *aReply.mReply; },
             [&](const caf::error& aError) {
               result = problem{ .mStatus = 503,
                                 .mType = "control-timeout",
                                 .mTitle = "The instance did not decide in time",
                                 .mDetail = "send the request to another instance (" +
                                            aRuntime.mSystem.render(aError) + ")",
                                 .mOutcome = outcome::NotRun,
                                 .mRetryAfter = duration(1s) };
             });
  return result;
}

void Tell(const runtime& aRuntime, control::request_event aEvent)
{
  caf::anon_send(aRuntime.mControl, request_message{ std::make_shared<const control::request_event>(
                                      std::move(aEvent)) });
}

void RequestRating(const runtime& aRuntime, rating_job aJob)
{
  caf::anon_send(aRuntime.mRater,
                 rating_message{ std::make_shared<const rating_job>(std::move(aJob)) });
}

} // namespace tamarackweir::entry
