# Functions to run a small fleet on loopback: stand-ins and four entry instances. Sourced by scripts and tests.

fleet_pids=()
# The ports of the samples are 7000 to 7999; another multiple of 1000 moves all of them, so that fleets can run side
# by side.
fleet_port_base=${FLEET_PORT_BASE:-7000}
if [ $((fleet_port_base % 1000)) -ne 0 ]; then
  echo "FLEET_PORT_BASE is $fleet_port_base; use a multiple of 1000" >&2
  return 1
fi

# Prints the port that stands for the port $1 of the samples.
fleet_port() { printf '%s' $(($1 - 7000 + fleet_port_base)); }

# Prints the sample file $1 with the ports of this fleet.
fleet_render() {
  sed -E "s/(127\\.0\\.0\\.1:|\"port\": )7([0-9]{3})/\\1$((fleet_port_base / 1000))\\2/g" "$1"
}

# Writes keys, the samples with this fleet's ports and the settings file of each instance into the folder $1.
fleet_write_settings() {
  local dir=$1
  printf '{"keys": [{"id": "k1", "secret": "%s"}]}\n' "$(head -c 32 /dev/urandom | base64 | tr '+/' '-_' | tr -d '=\n')" \
    >"$dir/session-keys.json"
  head -c 32 /dev/urandom | base64 >"$dir/peer.key"
  printf 'demo-haruka' >"$dir/haruka.key"
  printf 'demo-elena' >"$dir/elena.key"
  fleet_render docs/samples/standins.json >"$dir/standins.json"
  fleet_render docs/samples/demo/settings.json >"$dir/settings.json"
  local id owner centre number
  while read -r id owner centre number; do
    fleet_render /dev/stdin >"$dir/$id.json" <<JSON
{
  "id": "$id", "owner": "$owner", "data_centre": "$centre",
  "callers": "127.0.0.1:70$number", "operators": "127.0.0.1:74$number", "peers": "127.0.0.1:75$number",
  "table": "127.0.0.1:7101", "objects": "127.0.0.1:7102", "instance_list": "127.0.0.1:7103",
  "rating": "127.0.0.1:7104",
  "session_keys_file": "$dir/session-keys.json", "peer_key_file": "$dir/peer.key",
  "log": { "level": "info", "format": "json" }
}
JSON
  done <<LIST
k-1 kitamura sapporo-a 01
k-2 kitamura sapporo-b 02
p-1 plovdiv trakia-a 11
p-2 plovdiv trakia-b 12
LIST
}

# Starts a program with its log in $1/$2.log and remembers its process id in pid_$2.
fleet_start() {
  local dir=$1 name=$2
  shift 2
  "$@" >"$dir/$name.log" 2>&1 &
  fleet_pids+=($!)
  printf '%s' "$!" >"$dir/$name.pid"
}

# Starts the stand-ins and the instances from the build folder $2 with files in $1.
fleet_up() {
  local dir=$1 build=$2 id
  fleet_start "$dir" standins "$build/tamarackweir-standins" --config "$dir/standins.json"
  fleet_await 7101
  for id in k-1 k-2 p-1 p-2; do
    fleet_start "$dir" "$id" "$build/tamarackweird" --config "$dir/$id.json"
  done
  fleet_await 7401 7402 7411 7412
}

# Waits until each port (as in the samples) takes connections, at most 20 s.
fleet_await() {
  local port tries
  for port in "$@"; do
    for tries in $(seq 200); do
      if (exec 3<>"/dev/tcp/127.0.0.1/$(fleet_port "$port")") 2>/dev/null; then continue 2; fi
      sleep 0.1
    done
    echo "nothing listens on port $(fleet_port "$port") after 20 s" >&2
    return 1
  done
}

# Waits until each instance with these operators' ports (as in the samples) is ready, at most 20 s.
fleet_await_ready() {
  local port tries
  for port in "$@"; do
    for tries in $(seq 200); do
      if [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$(fleet_port "$port")/readyz")" = 200 ]; then continue 2; fi
      sleep 0.1
    done
    echo "the instance with operators' port $(fleet_port "$port") is not ready after 20 s" >&2
    return 1
  done
}

# Stops everything that fleet_start started and has not ended; the instances first, gracefully.
fleet_down() {
  local pid status=0
  for pid in "${fleet_pids[@]:1}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${fleet_pids[@]:1}"; do wait "$pid" || status=1; done
  if [ "${#fleet_pids[@]}" -gt 0 ]; then
    kill -TERM "${fleet_pids[0]}" 2>/dev/null || true
    wait "${fleet_pids[0]}" || true
  fi
  fleet_pids=()
  return $status
}
