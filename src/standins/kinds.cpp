#include "standins/kinds.h"

namespace tamarackweir::standins {

const std::map<std::string, kind>& Kinds()
{
  static const std::map<std::string, kind> kinds{
    { "table", TableKind() },    { "objects", ObjectsKind() }, { "instances", InstancesKind() },
    { "engine", EngineKind() },  { "service", ServiceKind() }, { "rating", RatingKind() },
    { "weights", WeightsKind() }
  };
  return kinds;
}

} // namespace tamarackweir::standins
