#!/usr/bin/env bash
# Guards against an instance that runs out of memory, because it matches long paths against its routes: std::regex takes
# stack for each character, and the pages stay with the thread.
set -euo pipefail
cd "$(dirname "$0")/../../.."
. scripts/fleet-lib.sh
. src/entry/failures/support.sh

crowd=60
path_bytes=8000 # below the 8,192 that the library takes
peak_bound_kb=$((64 << 10)) # the memory for callers, and 48 MB for the process
descriptor_bound=$((crowd + 128))

test_begin ".caller_memory_mb = 16"
path=/v1/services/$(head -c $path_bytes /dev/zero | tr '\0' b)
callers=()
for ((number = 0; number < crowd; ++number)); do
  post k-1 "$path" depot '{}' "long-$number" &
  callers+=($!)
done
wait "${callers[@]}"
check_survival k-1 paths "$peak_bound_kb" "$descriptor_bound"
test_end
