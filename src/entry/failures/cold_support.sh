# Steps of the cold-start tests: one engine that carries one request while cold, and eight requests for it at once.
# Sourced by the tests after support.sh.

servers() { status "$1" '[.servers[] | select(.versions | index("clerk-small@v1")) | .id]'; }

# Makes the engine on port 7201 the only one of clerk-small@v1 and restarts it cold.
restart_only_engine_cold() {
  local port instance
  for port in 7202 7203 7204 7205 7206; do
    curl -sS --fail-with-body -o /dev/null "http://127.0.0.1:$(fleet_port $port)/orders" \
      -d '{"order": "unload", "version": "clerk-small@v1", "fencing": 1}'
  done
  for instance in k-1 k-2 p-1 p-2; do await_equal 10 '["e-1"]' servers "$instance"; done
  # Cold until told otherwise, and slow enough that eight requests overlap: an answer takes about 0.3 s.
  faults 7201 '{"cold_limit": 1, "warm_after_ms": 0, "warm_after_requests": 0, "first_token_ms": 100, "token_ms": 10}'
  faults 7201 '{"crash": true}'
  await_equal 5 1 stats 7201 '.crashes // 0'
}

# Sends eight requests at once through four instances and checks that the engine was never over its limit. $1 says when.
check_requests_for_cold_engine() {
  local sent number instance pid answers
  echo "8 requests at once through four instances, $1"
  sent=()
  number=0
  for instance in k-1 k-2 p-1 p-2 k-1 k-2 p-1 p-2; do
    number=$((number + 1))
    chat "$instance" depot "Cold $seed.$number" "cold.$number" &
    sent+=($!)
  done
  for pid in "${sent[@]}"; do wait "$pid"; done
  answers=0
  for number in $(seq 8); do
    expect_match "answer $number" "200|[45][0-9][0-9] not_run" "$(answered "cold.$number")"
    if [ "$(answered "cold.$number")" = 200 ]; then answers=$((answers + 1)); fi
  done
  echo "$answers of 8 answered after $SECONDS s: $(for number in $(seq 8); do answered "cold.$number"; done | sort | uniq -c | tr '\n' ';')"
  if [ "$answers" -lt 1 ]; then fail "answered requests: expected at least 1, actual $answers"; fi
  expect_equal "cold after the requests" true "$(stats 7201 .load.cold)"
  expect_equal "overloads of the cold engine" 0 "$(stats 7201 '.overloads // 0')"
  expect_equal "crashes of the engine" 1 "$(stats 7201 '.crashes // 0')"
}
