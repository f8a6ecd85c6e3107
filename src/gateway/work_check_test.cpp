#include "gateway/work_check.h"

#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::gateway;

// Guards against a last attempt that waits in vain until the deadline, and against looking for a
// cancellation of calls that may run only once.
TEST_CASE(
  "an attempt that is never overdue is looked at after half of its time if it may be cancelled")
{
  CHECK(FirstCheck(400ms, true, 8s) == 400ms);
  CHECK(FirstCheck(8s, true, 8s) == 4s);
  CHECK(FirstCheck(8s, false, 8s) == 8s);
}
