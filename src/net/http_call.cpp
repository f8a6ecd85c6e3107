#include "net/http_call.h"

namespace tamarackweir::net {

task<http_result> Perform(asio::any_io_executor aExecutor, http_call aCall)
{
  const time_point end = Now() + aCall.mLimit;
  http_result result;
  const auto connection = std::make_shared<exchange>(aExecutor);
  result.mFailure = co_await connection->Connect(
    aCall.mServer, std::min(aCall.mConnectLimit, aCall.mLimit), aCall.mSilence);
  if (result.mFailure) {
    co_return result;
  }
  auto request = std::make_shared<outbound_request>(aCall.mMethod, aCall.mTarget, 11);
  request->set(http::field::host, aCall.mServer.address().to_string());
  request->keep_alive(false);
  for (const auto& [name, value] : aCall.mHeader) {
    request->set(name, value);
  }
  if (!aCall.mBody.empty()) {
    request->set(http::field::content_type, aCall.mContentType);
    request->body() = std::move(aCall.mBody);
    request->prepare_payload();
  }
  result.mMayBeDone = true;
  connection->Send(std::move(request));
  result.mFailure = co_await connection->ReadHeader(std::max(end - Now(), duration::zero()));
  if (!result.mFailure) {
    result.mStatus = connection->Header().result_int();
    result.mHeader = connection->Header();
    result.mFailure = co_await connection->ReadAll(result.mBody, aCall.mMaxAnswerBytes,
                                                   std::max(end - Now(), duration::zero()));
  }
  connection->Close();
  co_return result;
}

http_result PerformHere(http_call aCall)
{
  asio::io_context loop{ 1 };
  http_result result;
  co_spawn(loop, Perform(loop.get_executor(), std::move(aCall)),
           [&result](const std::exception_ptr& aFailure, http_result aResult) {
             result = std::move(aResult);
             if (aFailure) {
               result.mFailure = asio::error::operation_aborted;
               result.mMayBeDone = true;
             }
           });
  Run(loop);
  return result;
}

} // namespace tamarackweir::net
