# Functions that start a small fleet on loopback, for the other scripts. Every
# process is ended at the end. FLEET_PORTS moves the ports (default 20000).
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
base=${FLEET_PORTS:-20000}
work=$(mktemp -d)
bin=.bin
declare -A pids=()

cleanup() {
  for name in "${!pids[@]}"; do kill "${pids[$name]}" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=()
}
trap 'cleanup; rm -rf "$work"' EXIT

start() { # start NAME COMMAND...: runs in the background, its output in a file
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

stop() { # stop NAME SIGNAL
  kill "-$2" "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null || true
  unset "pids[$1]"
}

wait_for() { # wait_for URL: until it answers 200, 15 s at most
  for _ in $(seq 150); do
    curl -sf -o /dev/null "$1" && return 0
    sleep 0.1
  done
  echo "demo: $1 does not answer; logs:" >&2
  tail -n 5 "$work"/*.log >&2
  return 1
}

settings() { # settings N REGION DOMAIN
  cat >"$work/entry-$1.yaml" <<YAML
instance: entry-$1
region: $2
failure-domain: $3
listen: 127.0.0.1:$((base + 100 + $1))
admin: 127.0.0.1:$((base + 200 + $1))
control: 127.0.0.1:$((base + 300 + $1))
forward: 127.0.0.1:$((base + 400 + $1))
platform: $platform
YAML
}

start_fleet() { # start_fleet NAME SLOTS REGION "SERVICE:MS ..." [FLAG]: leaves entries, platform and victim set
  local name=$1 slots=$2 region=$3 port=$((base + 500)) rows="" n
  entries=""
  platform=http://127.0.0.1:$base
  echo "== $name"
  $bin/bronzectl generate "examples/$name/answers.yaml" --to "$work/$name.yaml"
  start platform $bin/bronzelab platform --listen "127.0.0.1:$base"
  wait_for "$platform/instances"
  for service in $4; do
    for n in 1 2 3; do
      port=$((port + 1))
      local flags="${5:-}"
      [ "${service%%:*}" = refunds ] && flags="--no-grant-checks --refuse-late"
      # shellcheck disable=SC2086
      start "${service%%:*}-$n" $bin/bronzelab backend --listen "127.0.0.1:$port" --name "${service%%:*}-$n" \
        --slots "$slots" --service-ms "${service##*:}" --journal "$platform" $flags
      rows="$rows,{\"name\":\"${service%%:*}-$n\",\"service\":\"${service%%:*}\",\"address\":\"127.0.0.1:$port\",\"region\":\"$region\",\"failure-domain\":\"$region-$([ $n = 1 ] && echo a || echo b)\"}"
    done
  done
  curl -sf -X PUT -d "[${rows#,}]" "$platform/instances"
  $bin/bronzectl publish "$work/$name.yaml" --platform "$platform" --author demo
  for n in 1 2 3; do
    settings "$n" "$region" "$region-$([ $n = 1 ] && echo a || echo b)"
    start "entry-$n" $bin/bronzewind --settings "$work/entry-$n.yaml"
    entries="$entries,127.0.0.1:$((base + 100 + n))"
  done
  for n in 1 2 3; do wait_for "http://127.0.0.1:$((base + 200 + n))/ready"; done
  $bin/bronzectl status --platform "$platform"
  sleep 2 # until the keys are assigned
  victim=${4%%:*}-2
}

alive() { # every process that was not killed on purpose still runs
  for name in "${!pids[@]}"; do
    kill -0 "${pids[$name]}" 2>/dev/null || { echo "demo: $name ended by itself" >&2; return 1; }
  done
}

put_load() { # put_load NAME PROFILE FLAGS...: load with the checks, its summary in $work/NAME.json
  local name=$1 profile=$2
  shift 2
  $bin/bronzelab load --config "$work/$name.yaml" --profile "$profile" \
    --entries "${entries#,}" --platform "$platform" --json "$work/$name.json" "$@"
}

fail() { # fail MESSAGE: shows the ends of the logs
  echo "$1; logs:" >&2
  tail -n 5 "$work"/entry-*.log >&2
  exit 1
}
