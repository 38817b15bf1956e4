#!/bin/sh
# Usage: run_case.sh SCENARIO CASE_FOLDER. Runs one scenario of the stand-ins and ends every process
# that it started.
root=$(cd "$(dirname "$0")/../.." && pwd)
world=$root/target/review/world
[ -x "$world" ] || { echo "target/review/world is missing: run review/build.sh" >&2; exit 2; }
[ -x "$root/target/release/quetzaldeal-platformd" ] || { echo "the daemon is not built" >&2; exit 2; }
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
timeout -k 5 110 "$world" "$1" "$root" "$2"
status=$?
for pids in "$TMPDIR"/*/pids; do
    [ -f "$pids" ] || continue
    while read -r pid; do
        case $(readlink "/proc/$pid/exe" 2>/dev/null) in
        *quetzaldeal-platformd) kill -KILL "$pid" 2>/dev/null ;;
        esac
    done < "$pids"
done
rm -rf "$TMPDIR"
[ "$status" -le 1 ] || status=2
exit "$status"
