#pragma once

#include "gateway/call.h"

namespace tamarackweir::gateway {

/// The request as it is sent to a server. It keeps the caller's request, whose body it sends.
std::shared_ptr<const net::forwarded_request> MessageFor(const gateway_state& aState,
                                                         const call& aCall,
                                                         const dispatch& aDetails);

} // namespace tamarackweir::gateway
