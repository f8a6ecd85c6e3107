#!/usr/bin/env bash
# Guards against an instance that runs out of memory, because it keeps all that its callers send outside of the bodies
# of its routes: header lines, request lines and chunk sizes without end, and bodies to a path that does not exist.
set -euo pipefail
cd "$(dirname "$0")/../../.."
. scripts/fleet-lib.sh
. src/entry/failures/support.sh

crowd=24
sent_bytes=$((8 << 20)) # by each caller
memory_mb=16
peak_bound_kb=$((64 << 10)) # the memory for callers, and 48 MB for the process
descriptor_bound=$((crowd + 128))

# Sends the file $2 to the instance $1, and keeps the connection open.
send_endless() {
  exec 3<>"/dev/tcp/127.0.0.1/$(fleet_port "$(callers_port "$1")")"
  cat "$2" >&3 2>/dev/null || true
  echo >>"$2.sent"
  exec sleep 60
}
sent() { wc -l <"$1.sent"; }

# A crowd sends the head $3 and then the text $4 again and again to the instance $1; $2 names the case. The text is a
# line if it ends with CR.
check_crowd() {
  local number file=$dir/crowd-$2
  printf '%b' "$3" >"$file"
  { yes "$4" || true; } | head -c "$sent_bytes" | if [[ $4 == *$'\r' ]]; then cat; else tr -d '\n'; fi >>"$file"
  : >"$file.sent"
  for ((number = 0; number < crowd; ++number)); do
    send_endless "$1" "$file" &
    fleet_pids+=($!)
  done
  await_equal 30 $crowd sent "$file"
  check_survival "$1" "$2" "$peak_bound_kb" "$descriptor_bound"
}

bytes=$(printf 'b%.0s' {1..1000})
test_begin ".caller_memory_mb = $memory_mb"
check_crowd k-1 header-line 'GET /v1/models HTTP/1.1\r\nHost: k-1\r\nName: ' "$bytes"
check_crowd k-2 header-lines 'GET /v1/models HTTP/1.1\r\nHost: k-2\r\n' "Name: ${bytes:0:48}"$'\r'
check_crowd p-1 request-line 'GET /' "$bytes"
check_crowd p-2 chunk-size 'POST /v1/chat/completions HTTP/1.1\r\nHost: p-2\r\nTransfer-Encoding: chunked\r\n\r\n5;' "$bytes"
# Last, as it adds to the connections that k-1 has.
descriptor_bound=$((2 * crowd + 128))
check_crowd k-1 other-path "POST /other HTTP/1.1\r\nHost: k-1\r\nContent-Length: $((2 * sent_bytes))\r\n\r\n" "$bytes"
test_end
