# Functions that start and stop a small fleet of separate processes on this machine; sourced by the
# scripts in demo/ and experiments/. Inputs: FLEET_WORLD (name of a configuration in deploy/) or
# FLEET_FILE (path of a configuration), FLEET_BASE (base port: the platform listens on it),
# FLEET_DIR (working directory); optional: FLEET_LOG (log level of the daemons), FLEET_TUNING (their
# tuning settings, as YAML).

fleet_bin() { echo "target/release/$1"; }
fleet_platform() { echo "127.0.0.1:$FLEET_BASE"; }
fleet_pids=()

# fleet_start NAME COMMAND...: starts a process and records its process id in $FLEET_DIR/NAME.pid.
fleet_start() {
  local name=$1
  shift
  "$@" >"$FLEET_DIR/$name.out" 2>"$FLEET_DIR/$name.log" &
  echo $! >"$FLEET_DIR/$name.pid"
  fleet_pids+=($!)
  disown $!
}

# fleet_objects KIND: prints "name data_centre address" of each configured object of a kind.
fleet_objects() {
  awk -v kind="$1" '
    /^---/ { if (k == kind) print n, c, a; k = n = c = a = "" }
    /^kind:/ { k = $2 } /^name:/ { n = $2 } /^data_centre:/ { c = $2 } /^address:/ { a = $2 }
    END { if (k == kind) print n, c, a }' "${FLEET_FILE:-deploy/$FLEET_WORLD.yaml}"
}

# fleet_callers HOST: prints the address at which a host's daemon accepts callers.
fleet_callers() {
  fleet_objects host | awk -v host="$1" -v base="$FLEET_BASE" \
    '$1 == host { split($3, part, ":"); print "127.0.0.1:" part[2] + 200 }'
}

# fleet_host HOST: writes a host's settings and starts its daemon. Seeds are at most 9 other hosts.
fleet_host() {
  local name centre address port seeds
  read -r name centre address < <(fleet_objects host | awk -v host="$1" '$1 == host')
  seeds=$(fleet_objects host | awk -v host="$1" '$1 != host && ++count <= 9 { print "  - " $3 }')
  cat >"$FLEET_DIR/$name.yaml" <<YAML
host: $name
data_centre: $centre
callers: $(fleet_callers "$name")
peers: $address
platform: $(fleet_platform)
seeds:
$seeds
fleet_secret: demonstration
endpoint_login:
  user: quetzaldeal
  database: app
log_level: ${FLEET_LOG:-info}
${FLEET_TUNING:+tuning: {$FLEET_TUNING\}}
YAML
  fleet_start "$name" "$(fleet_bin quetzaldeald)" --settings "$FLEET_DIR/$name.yaml"
}

# fleet_endpoint ENDPOINT [OPTIONS...]: starts the stand-in database of an endpoint.
fleet_endpoint() {
  local name=$1 address
  shift
  address=$(fleet_objects endpoint | awk -v name="$name" '$1 == name { print $3 }')
  fleet_start "$name" "$(fleet_bin stand-in-endpoint)" --address "$address" "$@"
}

# fleet_up [OPTIONS...]: starts the platform, all databases and all hosts; the options go to the
# databases.
fleet_up() {
  local name
  fleet_start platform "$(fleet_bin stand-in-platform)" --address "$(fleet_platform)"
  for name in $(fleet_objects endpoint | cut -d' ' -f1); do fleet_endpoint "$name" "$@"; done
  for name in $(fleet_objects host | cut -d' ' -f1); do fleet_host "$name"; done
}

# fleet_signal NAME SIGNAL: sends a signal to a process that fleet_start started.
fleet_signal() { kill "-$2" "$(cat "$FLEET_DIR/$1.pid")"; }

# fleet_down: kills all processes of the fleet.
fleet_down() {
  local pid
  for pid in "${fleet_pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
}

# fleet_operator ARGUMENTS...: runs the operators' command line against the fleet's platform.
fleet_operator() { "$(fleet_bin quetzaldeal)" --platform "$(fleet_platform)" "$@"; }

# fleet_key NAME ACCOUNT: creates a key, appends its object to the configuration that will be
# published ($FLEET_DIR/world.yaml), and prints the key.
fleet_key() {
  fleet_operator key new "$1" --account "$2" --print >"$FLEET_DIR/key.yaml"
  cat "$FLEET_DIR/key.yaml" >>"$FLEET_DIR/world.yaml"
  awk '/^# key/ { print $NF }' "$FLEET_DIR/key.yaml"
}

# fleet_primary GROUP: prints the primary of a group that the first host with one reports.
fleet_primary() {
  fleet_operator status | awk -v group="$1" '$2 == group && $4 != "-" { print $4; exit }'
}

# fleet_await_primary GROUP: waits up to 10 s until the group has a primary, and prints it.
fleet_await_primary() {
  local primary=""
  for _ in $(seq 100); do
    primary=$(fleet_primary "$1")
    [ -n "$primary" ] && break
    sleep 0.1
  done
  echo "$primary"
}
