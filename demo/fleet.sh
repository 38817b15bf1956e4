# Functions that start and stop a small fleet of separate processes; read by the scripts here.
# Needs: FLEET_WORLD (name of a file in deploy/) or FLEET_FILE (path of a world), FLEET_BASE (first
# port), FLEET_DIR (work folder).

fleet_bin() { echo "target/release/$1"; }
fleet_platform() { echo "127.0.0.1:$FLEET_BASE"; }
fleet_pids=()

# fleet_start NAME COMMAND...: starts a process and notes its pid under its name.
fleet_start() {
  local name=$1
  shift
  "$@" >"$FLEET_DIR/$name.out" 2>"$FLEET_DIR/$name.log" &
  echo $! >"$FLEET_DIR/$name.pid"
  fleet_pids+=($!)
  disown $!
}

# fleet_objects KIND: lines of "name data_centre address" of the objects of a kind.
fleet_objects() {
  awk -v kind="$1" '
    /^---/ { if (k == kind) print n, c, a; k = n = c = a = "" }
    /^kind:/ { k = $2 } /^name:/ { n = $2 } /^data_centre:/ { c = $2 } /^address:/ { a = $2 }
    END { if (k == kind) print n, c, a }' "${FLEET_FILE:-deploy/$FLEET_WORLD.yaml}"
}

# fleet_callers HOST: the address of a host's callers' door.
fleet_callers() {
  fleet_objects host | awk -v host="$1" -v base="$FLEET_BASE" \
    '$1 == host { split($3, part, ":"); print "127.0.0.1:" part[2] + 200 }'
}

# fleet_host HOST: starts a host's daemon.
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

# fleet_endpoint ENDPOINT [OPTIONS...]: starts a stand-in database.
fleet_endpoint() {
  local name=$1 address
  shift
  address=$(fleet_objects endpoint | awk -v name="$name" '$1 == name { print $3 }')
  fleet_start "$name" "$(fleet_bin stand-in-endpoint)" --address "$address" "$@"
}

# fleet_up [OPTIONS...]: starts everything; the options go to the stand-in databases.
fleet_up() {
  local name
  fleet_start platform "$(fleet_bin stand-in-platform)" --address "$(fleet_platform)"
  for name in $(fleet_objects endpoint | cut -d' ' -f1); do fleet_endpoint "$name" "$@"; done
  for name in $(fleet_objects host | cut -d' ' -f1); do fleet_host "$name"; done
}

# fleet_signal NAME SIGNAL: signals one of the processes started here.
fleet_signal() { kill "-$2" "$(cat "$FLEET_DIR/$1.pid")"; }

fleet_down() {
  local pid
  for pid in "${fleet_pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
}

# fleet_operator ARGUMENTS...: the operators' command line.
fleet_operator() { "$(fleet_bin quetzaldeal)" --platform "$(fleet_platform)" "$@"; }

# fleet_key NAME ACCOUNT: makes a key, adds its object to the world to publish, prints the key.
fleet_key() {
  fleet_operator key new "$1" --account "$2" --print >"$FLEET_DIR/key.yaml"
  cat "$FLEET_DIR/key.yaml" >>"$FLEET_DIR/world.yaml"
  awk '/^# key/ { print $NF }' "$FLEET_DIR/key.yaml"
}

# fleet_primary GROUP: the primary of a group as a host sees it.
fleet_primary() {
  fleet_operator status | awk -v group="$1" '$2 == group && $4 != "-" { print $4; exit }'
}

# fleet_await_primary GROUP: waits until the group has a primary.
fleet_await_primary() {
  local primary=""
  for _ in $(seq 100); do
    primary=$(fleet_primary "$1")
    [ -n "$primary" ] && break
    sleep 0.1
  done
  echo "$primary"
}
