# Functions of the scripts: start and stop processes on loopback, each by id.

bin=${TACKHOLLOW_BIN:-target/debug}
run_dir=$(mktemp -d "${TMPDIR:-/tmp}/tackhollow.XXXXXX")
pids=()

# Stops everything that was started, by id.
stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ -z "${KEEP_FILES:-}" ]; then rm -rf "$run_dir"; fi
}
trap stop_all EXIT

# start NAME PROGRAM ARG...: starts a program and waits for its addresses.
start() {
  local name=$1 program=$2
  shift 2
  "$bin/$program" "$@" >"$run_dir/$name.out" 2>"$run_dir/$name.log" &
  pids+=($!)
  disown $!
  eval "pid_${name//-/_}=$!"
  local tries=0
  until [ -s "$run_dir/$name.out" ]; do
    sleep 0.02
    tries=$((tries + 1))
    if [ $tries -gt 500 ]; then
      echo "$name did not start:" >&2
      cat "$run_dir/$name.log" >&2
      exit 1
    fi
  done
}

# address NAME FIELD: prints an address of a started program.
address() {
  sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$run_dir/$1.out"
}

# register NAME ROLE DATA_CENTRE MODELS_JSON SLOTS PRICE: adds a host to the cloud's list.
register() {
  curl -sf -X POST "http://$(address platform http)/control/register" -d \
    "[{\"id\":\"$1\",\"role\":\"$2\",\"data_centre\":\"$3\",\"class\":\"small\",
       \"addr\":\"$(address "$1" http)\",\"models\":$4,\"slots\":$5,\"price\":$6,
       \"reclaimable\":true,\"state\":\"live\"}]"
}

# entry_settings NAME DATA_CENTRE REGION SEEDS_TOML [LIMITS]: writes settings.
entry_settings() {
  cat >"$run_dir/$1.toml" <<EOF
id = "$1"
data_centre = "$2"
region = "$3"
log_level = "${LOG_LEVEL:-info}"

[listen]
http = "127.0.0.1:0"
peer = "127.0.0.1:0"
gossip = "127.0.0.1:0"

[peers]
secret = "shared-between-entry-processes"
seeds = [$4]

[platform]
address = "$(address platform http)"
timeout_ms = 1000

[operators]
keys = ["noi:$(printf %s "$operator_key" | sha256sum | cut -d' ' -f1)"]

[limits]
${5:-}
EOF
}

operator_key=operator-key
customer_key=temple-fairs-key
