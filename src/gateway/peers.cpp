#include "gateway/peers.h"

#include "base/error.h"
#include "gateway/shift_results.h"
#include "net/http_call.h"
#include "observe/event_log.h"
#include "rollout/results_message.h"

#include <algorithm>

namespace tamarackweir::gateway {

namespace {

constexpr const char* kTablesTarget = "/peer/tables";
constexpr const char* kResultsTarget = "/peer/results";
constexpr const char* kHalted = "{\"halted\":true}";

constexpr duration kPullLimit = 600ms; ///< enough for a few hundred rows over a slow link
constexpr duration kPushLimit = 400ms;
constexpr duration kSilentPeerPause = 3s; ///< another instance collects meanwhile
constexpr duration kMaxFollowWait = 10s;  ///< longest wait that a peer may request

} // namespace

std::vector<std::string> Collectors(const gateway_state& aState, const service_id& aService,
                                    time_point aNow)
{
  std::set<std::string> silent;
  for (const auto& [instance, until] : aState.mSilentPeers) {
    if (aNow < until) {
      silent.insert(instance);
    }
  }
  return DutyHolders(aState.mRoster, aService.Value(), kCollectors, silent);
}

peer_exchange::peer_exchange(net::asio::io_context& aLoop, gateway_state& aState,
                             replica::table_set& aTables,
                             std::function<bool(const replica::news_answer&)> aOnUpdate)
  : mLoop(aLoop)
  , mState(aState)
  , mTables(aTables)
  , mOnUpdate(std::move(aOnUpdate))
  , mStartId(std::to_string(aState.mRandom()))
{
}

void peer_exchange::Listen(const net::tcp::endpoint& aAddress)
{
  net::http_server_options options;
  options.mAddress = aAddress;
  options.mBindsLater = true;
  options.mLimits = &mLimits;
  options.mHandler = [this](std::shared_ptr<net::caller_connection> aPeer,
                            std::shared_ptr<net::inbound_request> aRequest) {
    return Answer(std::move(aPeer), std::move(aRequest));
  };
  mServer = std::make_unique<net::http_server>(mLoop, std::move(options));
  mServer->Start();
}

net::task<> peer_exchange::PullTables(std::vector<std::string> aNames, std::size_t aCount)
{
  std::vector<peer> asked = mPeers;
  std::shuffle(asked.begin(), asked.end(), mState.mRandom);
  for (std::size_t i = 0, answered = 0; i < asked.size() && answered < aCount; ++i) {
    const auto answer = co_await PullFrom(asked[i], aNames, duration::zero());
    if (answer) {
      ++answered;
      (void)mOnUpdate(*answer);
    }
  }
}

net::task<follow_result> peer_exchange::Follow(instance_id aPeer, std::vector<std::string> aNames,
                                               duration aWait)
{
  const auto known = std::find_if(mPeers.begin(), mPeers.end(),
                                  [&aPeer](const peer& aOther) { return aOther.mId == aPeer; });
  if (known == mPeers.end()) {
    co_return follow_result::Silent;
  }
  const peer followed = *known;
  const auto answer = co_await PullFrom(followed, std::move(aNames), aWait);
  if (!answer) {
    co_return follow_result::Silent;
  }
  if (!mOnUpdate(*answer)) {
    co_return follow_result::Silent;
  }
  co_return answer->mIsStoreLost ? follow_result::StoreLost : follow_result::Confirmed;
}

void peer_exchange::NotifyFollowers()
{
  for (net::asio::steady_timer* const wait : mFollowerTimers) {
    wait->cancel();
  }
}

net::task<std::optional<replica::news_answer>> peer_exchange::PullFrom(
  peer aPeer, std::vector<std::string> aNames, duration aWait)
{
  replica::news_question question = replica::QuestionAbout(mTables, aNames);
  question.mWait = aWait;
  net::http_call call;
  call.mServer = aPeer.mAddress;
  call.mMethod = net::http::verb::post;
  call.mTarget = kTablesTarget;
  call.mBody = replica::EncodeQuestion(question);
  call.mLimit = aWait + kPullLimit;
  const net::http_result result = co_await net::Perform(mLoop.get_executor(), std::move(call));
  if (result.mFailure || result.mStatus != 200) {
    observe::event_line("peer_silent")
      .Text("peer", aPeer.mAddress.address().to_string())
      .Text("reason", result.mFailure ? result.mFailure.message() : std::to_string(result.mStatus))
      .Write();
    co_return std::nullopt;
  }
  try {
    co_return replica::DecodeAnswer(result.mBody);
  } catch (const error& failure) {
    observe::event_line("peer_unreadable").Text("reason", failure.what()).Write();
  }
  co_return std::nullopt;
}

net::task<> peer_exchange::PushResults(service_id aService)
{
  const auto shift = mState.mShifts.find(aService);
  if (shift == mState.mShifts.end()) {
    co_return;
  }
  const std::uint64_t order = shift->second.mOrder.mOrderId;
  const std::string body =
    rollout::EncodeReport({ .mService = aService,
                            .mOrderId = order,
                            .mInstance = mState.mSelf.mId.Value() + "/" + mStartId,
                            .mResults = shift->second.mOwnResults,
                            .mLoads = shift->second.mOwnLoads });
  const std::vector<std::string> collectors = Collectors(mState, aService, net::Now());
  const std::vector<peer> peers = mPeers;
  for (const peer& other : peers) {
    if (std::find(collectors.begin(), collectors.end(), other.mId.Value()) == collectors.end()) {
      continue;
    }
    net::http_call call;
    call.mServer = other.mAddress;
    call.mMethod = net::http::verb::post;
    call.mTarget = kResultsTarget;
    call.mBody = body;
    call.mLimit = kPushLimit;
    const net::http_result result = co_await net::Perform(mLoop.get_executor(), std::move(call));
    if (result.mFailure) {
      mState.mSilentPeers[other.mId.Value()] = net::Now() + kSilentPeerPause;
      observe::event_line("collector_silent")
        .Text("peer", other.mId.Value())
        .Text("reason", result.mFailure.message())
        .Write();
      continue;
    }
    const auto current = mState.mShifts.find(aService);
    if (result.mBody == kHalted && current != mState.mShifts.end() &&
        current->second.mOrder.mOrderId == order) {
      HaltShift(current->second, other.mId);
    }
  }
}

net::task<> peer_exchange::Answer(std::shared_ptr<net::caller_connection> aPeer,
                                  std::shared_ptr<net::inbound_request> aRequest)
{
  net::outbound_answer answer{ net::http::status::ok, 11 };
  answer.set(net::http::field::content_type, "application/json");
  try {
    if (aRequest->mTarget == kTablesTarget) {
      answer.body() = co_await AnswerTables(aRequest);
    } else if (aRequest->mTarget == kResultsTarget) {
      answer.body() = AnswerResults(*aRequest);
    } else {
      answer.result(net::http::status::not_found);
    }
  } catch (const error& failure) {
    observe::event_line("peer_unreadable").Text("reason", failure.what()).Write();
    answer.result(net::http::status::bad_request);
  }
  (void)co_await aPeer->Answer(answer);
}

net::task<std::string> peer_exchange::AnswerTables(std::shared_ptr<net::inbound_request> aRequest)
{
  const replica::news_question question = replica::DecodeQuestion(aRequest->mBody);
  const time_point begin = net::Now();
  const time_point end = begin + std::min(question.mWait, kMaxFollowWait);
  const bool isFollowed = question.mWait > duration::zero();
  if (isFollowed) {
    mState.mFollowedAt = begin;
  }
  while (true) {
    const time_point now = net::Now();
    // An instance that does not read the store yet, or was suspended, confirms nothing until the
    // store has answered it.
    const bool isBehind = isFollowed && now - mState.mStoreAnsweredAt > kConfirmedWithin;
    if (isBehind && !mState.mIsStoreLost && !mState.mIsStopping && now < end) {
      co_await WaitForNews(end);
      continue;
    }
    // An instance that is stopping ends the wait, so that its followers turn to another one.
    const bool cannotServe = mState.mIsStoreLost || mState.mIsStopping || isBehind;
    replica::news_answer answer = replica::AnswerFor(mTables, question, cannotServe);
    if (mState.mStoreReturnedAt) {
      answer.mStoreReturnedAgo = net::Now() - *mState.mStoreReturnedAt;
    }
    if (answer.IsUrgent() || cannotServe || net::Now() >= end) {
      co_return replica::EncodeAnswer(answer);
    }
    co_await WaitForNews(end);
  }
}

net::task<> peer_exchange::WaitForNews(time_point aEnd)
{
  net::asio::steady_timer wait(mLoop, aEnd - net::Now());
  mFollowerTimers.insert(&wait);
  net::error_code ignoredCancel;
  co_await wait.async_wait(net::asio::redirect_error(net::asio::use_awaitable, ignoredCancel));
  mFollowerTimers.erase(&wait);
}

std::string peer_exchange::AnswerResults(const net::inbound_request& aRequest)
{
  const rollout::results_report report = rollout::DecodeReport(aRequest.mBody);
  const auto shift = mState.mShifts.find(report.mService);
  if (shift == mState.mShifts.end() || shift->second.mOrder.mOrderId != report.mOrderId) {
    return "{\"halted\":false}";
  }
  rollout::MergeResults(shift->second, report.mInstance, report.mResults);
  rollout::MergeLoads(shift->second, report.mInstance, report.mLoads);
  if (rollout::IsRunning(shift->second) &&
      rollout::IsNewVersionBad(shift->second, mState.mOptions.mShift)) {
    HaltShift(shift->second, mState.mSelf.mId);
  }
  return shift->second.mIsHalted ? kHalted : "{\"halted\":false}";
}

} // namespace tamarackweir::gateway
