#!/usr/bin/env bash
# Guards against an instance that serves nobody, because callers that never finish their headers hold all its threads:
# some send nothing more, others a byte now and then.
set -euo pipefail
cd "$(dirname "$0")/../../.."
. scripts/fleet-lib.sh
. src/entry/failures/support.sh

crowd=24
threads=8
peak_bound_kb=$((64 << 10))
descriptor_bound=$((crowd + 128))

# Begins a header at the instance $1, and sends a byte more each second if $2 is "drip".
hold_header() {
  trap '' PIPE
  exec 3<>"/dev/tcp/127.0.0.1/$(fleet_port "$(callers_port "$1")")"
  printf 'GET /v1/models HTTP/1.1\r\nHost: k-1\r\nName: b' >&3
  echo >>"$dir/begun-$1"
  while [ "$2" = drip ] && printf b 2>/dev/null >&3; do sleep 1; done
  exec sleep 90
}
begun() { wc -l <"$dir/begun-$1"; }

check_crowd() {
  local number
  : >"$dir/begun-$1"
  for ((number = 0; number < crowd; ++number)); do
    hold_header "$1" "$2" &
    fleet_pids+=($!)
  done
  await_equal 30 $crowd begun "$1"
  check_survival "$1" "$2" "$peak_bound_kb" "$descriptor_bound"
}

test_begin ".caller_threads = $threads"
check_crowd k-1 drip
check_crowd k-2 silent
test_end
