# Functions for the failure tests: a fleet whose processes can be killed and frozen, faults of the stand-ins, and
# checks. Sourced by the tests after scripts/fleet-lib.sh.

build=${BUILD_DIR:-build}
seed=${SEED:-1}
dir=$(mktemp -d)
failures=0
RANDOM=$seed

# Ends every process of the fleet by its process id, also frozen ones. The logs stay when the test failed.
test_cleanup() {
  local code=$? pid
  for pid in "${fleet_pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  fleet_pids=()
  if [ "$code" -ne 0 ]; then
    echo "ended with status $code; seed $seed; the logs are in $dir"
  else
    rm -rf "$dir"
  fi
}
trap test_cleanup EXIT

# Starts the fleet with the sample settings in force on all instances. The jq filter $1 changes the instances' own
# settings.
test_begin() {
  local id
  fleet_write_settings "$dir"
  for id in k-1 k-2 p-1 p-2; do
    jq "${1:-.}" "$dir/$id.json" >"$dir/$id.changed" && mv "$dir/$id.changed" "$dir/$id.json"
  done
  fleet_up "$dir" "$build"
  operator k-1 config apply "$dir/settings.json" --base 0 --wait 4
  fleet_await_ready 7401 7402 7411 7412
}

# Prints the result and ends the test with it.
test_end() {
  if [ "$failures" -gt 0 ]; then
    echo "$failures failed checks"
    exit 1
  fi
  echo "all checks hold, $SECONDS s"
  exit 0
}

fail() {
  failures=$((failures + 1))
  echo "FAILED: $*"
}

# Checks that the actual value $3 equals the expected value $2; $1 says what the value is.
expect_equal() {
  if [ "$2" != "$3" ]; then fail "$1: expected $2, actual $3"; fi
}

# Checks that the actual value $3 matches the extended regular expression $2 as a whole.
expect_match() {
  if ! [[ $3 =~ ^($2)$ ]]; then fail "$1: expected $2, actual $3"; fi
}

# Waits until the command $3... prints the expected value $2, at most $1 s. Prints the last value on a failure.
await_equal() {
  local bound=$1 expected=$2 actual end=$((SECONDS + $1))
  shift 2
  while true; do
    actual=$("$@" 2>/dev/null || true)
    if [ "$actual" = "$expected" ]; then return 0; fi
    if [ "$SECONDS" -gt "$end" ]; then break; fi
    sleep 0.05
  done
  fail "after $bound s, $*: expected $expected, actual $actual"
}

# The callers' port of an instance, as in the samples.
callers_port() {
  case $1 in
    k-1) echo 7001 ;;
    k-2) echo 7002 ;;
    p-1) echo 7011 ;;
    p-2) echo 7012 ;;
  esac
}

# Runs the command-line tool on the instance $1 as the operator of kitamura, or $OPERATOR.
operator() {
  local port=$(($(callers_port "$1") + 400))
  shift
  "$build/tamarackweir" --instance "127.0.0.1:$(fleet_port $port)" --key-file "$dir/${OPERATOR:-haruka}.key" "$@"
}

# Prints the counters of the stand-in with the port $1, or the part of them that the jq filter $2 names.
stats() { curl -sS "http://127.0.0.1:$(fleet_port "$1")/stats" | jq -c "${2:-.}"; }

# Sets switches of the stand-in with the port $1.
faults() { curl -sS --fail-with-body -o "$dir/faults.out" "http://127.0.0.1:$(fleet_port "$1")/faults" -d "$2"; }

# The status of an instance: the part that the jq filter $2 names.
status() {
  curl -sS -H "Authorization: Bearer demo-haruka" \
    "http://127.0.0.1:$(fleet_port $(($(callers_port "$1") + 400)))/operator/status" | jq -c "$2"
}

# The HTTP status of the instance's /readyz.
readiness() {
  curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$(fleet_port $(($(callers_port "$1") + 400)))/readyz"
}

# Sends a signal to a process of the fleet by its name.
signal() { kill "-$2" "$(cat "$dir/$1.pid")"; }

# Kills an instance with SIGKILL and forgets it.
kill_instance() {
  local pid kept=() each
  pid=$(cat "$dir/$1.pid")
  kill -KILL "$pid"
  wait "$pid" 2>/dev/null || true
  for each in "${fleet_pids[@]}"; do
    if [ "$each" != "$pid" ]; then kept+=("$each"); fi
  done
  fleet_pids=("${kept[@]}")
}

# Posts to the instance $1 at the path $2 as the client account $3 with the body $4 and further curl options. The
# answer goes to $dir/$5 and its HTTP status to $dir/$5.status (000: no answer).
post() {
  local port path=$2 account=$3 body=$4 out=$5
  port=$(fleet_port "$(callers_port "$1")")
  shift 5
  curl -sS -N --max-time 40 -o "$dir/$out" -w '%{http_code}' -H "Authorization: Bearer demo-$account" \
    -H 'Content-Type: application/json' -d "$body" "$@" "http://127.0.0.1:$port$path" \
    >"$dir/$out.status" 2>"$dir/$out.error" || true
}

# Activates a driver through the instance $1 with the idempotency key $2; see `post` for the answer's file $3.
activate() {
  post "$1" /v1/services/drivers/activate depot "{\"driver\": \"$2\"}" "$3" -H "Idempotency-Key: $2"
}

# Sends a message $3 to clerk-small through the instance $1 as the client account $2; the answer goes to the file $4.
chat() {
  local instance=$1 account=$2 text=$3 out=$4
  shift 4
  post "$instance" /v1/chat/completions "$account" \
    "{\"model\": \"clerk-small\", \"stream\": ${STREAM:-false}, \"messages\": [{\"role\": \"user\", \"content\": \"$text\"}]}" \
    "$out" "$@"
}

# Checks that the instance $1 answers an ordinary request and lives, and that its peak of resident memory is at most $3 kB
# and its open descriptors are at most $4; $2 names the case.
check_survival() {
  local peak descriptors pid
  pid=$(cat "$dir/$1.pid")
  chat "$1" depot "Question $seed" "ordinary-$2"
  expect_equal "$2: answer to an ordinary request" 200 "$(answered "ordinary-$2")"
  expect_equal "$2: the instance lives" yes "$(kill -0 "$pid" && echo yes)"
  peak=$(awk '/^VmHWM:/ { print $2 }' "/proc/$pid/status")
  descriptors=$(find "/proc/$pid/fd" -mindepth 1 | wc -l)
  echo "$2: peak $peak kB, $descriptors descriptors"
  if [ "$peak" -gt "$3" ]; then fail "$2: peak of resident memory: $peak kB, bound $3"; fi
  if [ "$descriptors" -gt "$4" ]; then fail "$2: descriptors: $descriptors, bound $4"; fi
}

# Prints the HTTP status of an answer and, of a refusal, its outcome: "200", "503 not_run", "409 unknown".
answered() {
  local outcome=
  if [ "$(cat "$dir/$1.status")" != 200 ]; then outcome=$(jq -r '.outcome // "none"' "$dir/$1" 2>/dev/null || echo none); fi
  echo "$(cat "$dir/$1.status")${outcome:+ $outcome}"
}
