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

pid_of() { cat "$dir/$1.pid"; }
peak_kb() { awk '/^VmHWM:/ { print $2 }' "/proc/$(pid_of "$1")/status"; }
descriptors() { find "/proc/$(pid_of "$1")/fd" -mindepth 1 | wc -l; }

test_begin ".caller_memory_mb = 16"
path=/v1/services/$(head -c $path_bytes /dev/zero | tr '\0' b)
callers=()
for ((number = 0; number < crowd; ++number)); do
  post k-1 "$path" depot '{}' "long-$number" &
  callers+=($!)
done
wait "${callers[@]}"
chat k-1 depot "Question $seed" ordinary
expect_equal "answer to an ordinary request" 200 "$(answered ordinary)"
expect_equal "the instance lives" yes "$(kill -0 "$(pid_of k-1)" && echo yes)"
echo "peak $(peak_kb k-1) kB, $(descriptors k-1) descriptors"
if [ "$(peak_kb k-1)" -gt "$peak_bound_kb" ]; then fail "peak of resident memory: $(peak_kb k-1) kB, bound $peak_bound_kb"; fi
if [ "$(descriptors k-1)" -gt "$descriptor_bound" ]; then fail "descriptors: $(descriptors k-1), bound $descriptor_bound"; fi
test_end
