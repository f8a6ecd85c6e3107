#!/usr/bin/env bash
# Guards against an instance that runs out of memory, because it keeps the unfinished bodies of all its callers: a
# crowd sends most of a large body, with a length or in chunks, and then nothing.
set -euo pipefail
cd "$(dirname "$0")/../../.."
. scripts/fleet-lib.sh
. src/entry/failures/support.sh

crowd=24
body_bytes=$((8 << 20)) # below the 64 MB that an instance reads of one body
peak_bound_kb=$((128 << 10))
descriptor_bound=$((crowd + 128))

peak_kb() { awk '/^VmHWM:/ { print $2 }' "/proc/$(cat "$dir/k-1.pid")/status"; }
descriptors() { find "/proc/$(cat "$dir/k-1.pid")/fd" -mindepth 1 | wc -l; }

# Sends the head $1, then the file $2, and keeps the connection open.
send_unfinished() {
  exec 3<>"/dev/tcp/127.0.0.1/$(fleet_port 7001)"
  { printf 'POST /v1/chat/completions HTTP/1.1\r\nHost: k-1\r\n%b\r\n\r\n' "$1" && cat "$2"; } >&3 2>/dev/null || true
  echo >>"$dir/sent"
  exec sleep 60
}
sent() { wc -l <"$dir/sent"; }

test_begin
head -c "$body_bytes" /dev/zero | tr '\0' b >"$dir/body"
{ printf '%x\r\n' $((2 * body_bytes)) && cat "$dir/body"; } >"$dir/chunk"
: >"$dir/sent"
for ((number = 0; number < crowd; number += 2)); do
  send_unfinished "Content-Length: $((2 * body_bytes))" "$dir/body" &
  fleet_pids+=($!)
  send_unfinished "Transfer-Encoding: chunked" "$dir/chunk" &
  fleet_pids+=($!)
done
await_equal 30 $crowd sent
chat k-1 depot "Question $seed" ordinary
expect_equal "answer to an ordinary request" 200 "$(answered ordinary)"
expect_equal "the instance lives" yes "$(kill -0 "$(cat "$dir/k-1.pid")" && echo yes)"
echo "peak $(peak_kb) kB, $(descriptors) descriptors"
if [ "$(peak_kb)" -gt "$peak_bound_kb" ]; then fail "peak of resident memory: $(peak_kb) kB, bound $peak_bound_kb"; fi
if [ "$(descriptors)" -gt "$descriptor_bound" ]; then fail "descriptors: $(descriptors), bound $descriptor_bound"; fi
test_end
