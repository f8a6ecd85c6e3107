#include "entry/engine_client.h"

#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::entry;

// Guards against a stalled engine that is taken for a crashed one: the client's wait is cut to
// whole milliseconds, so it ended up to 1 ms before the limit, and the requests there became
// suspects.
TEST_CASE("a wait that ends a fraction of a millisecond early is a timeout, an early break is not")
{
  CHECK(IsTimeout(call_end::Broken, 699'600us, 700'300us));
  CHECK(IsTimeout(call_end::Broken, 701ms, 700'300us));
  CHECK_FALSE(IsTimeout(call_end::Broken, 690ms, 700'300us));
  CHECK_FALSE(IsTimeout(call_end::Complete, 701ms, 700'300us));
}
