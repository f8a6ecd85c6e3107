#pragma once

#include "standins/standin.h"

namespace tamarackweir::standins {

kind TableKind();     ///< the table service over `platform::memory_table`
kind ObjectsKind();   ///< the object store
kind InstancesKind(); ///< the lagging list of instances
kind EngineKind();    ///< a model engine
kind ServiceKind();   ///< a plain service that counts its runs per idempotency key
kind RatingKind();    ///< the service that rates answers
kind WeightsKind();   ///< the weight store with its rate limit

} // namespace tamarackweir::standins
