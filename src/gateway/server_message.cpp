#include "gateway/server_message.h"

namespace tamarackweir::gateway {

std::shared_ptr<const net::forwarded_request> MessageFor(const gateway_state& aState,
                                                         const call& aCall,
                                                         const dispatch& aDetails)
{
  struct kept_message
  {
    net::forwarded_request mMessage;
    std::shared_ptr<const net::inbound_request> mRequest;
  };
  const auto kept = std::make_shared<kept_message>();
  kept->mRequest = aCall.mRequest;
  const net::inbound_request& request = *kept->mRequest;
  net::forwarded_request& message = kept->mMessage;
  aState.mDialect.mWriteCall(request, aDetails, message);
  message.method_string(request.mMethod);
  message.target(request.mTarget);
  message.body() = { request.mBody.data(), request.mBody.size() };
  if (!request.mBody.empty() || request.mHeader.count(net::http::field::content_length) > 0 ||
      request.mHeader.count(net::http::field::transfer_encoding) > 0) {
    message.content_length(request.mBody.size());
  }
  return { kept, &message };
}

} // namespace tamarackweir::gateway
