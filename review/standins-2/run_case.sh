#!/usr/bin/env bash
# Usage: run_case.sh SCENARIO FOLDER. Runs a scenario, which writes FOLDER/record.txt, and ends every
# process that it started. Exits with 1 if a rule was broken, 0 if it held, and 2 if it could not run.
set -uo pipefail
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/scenarios ] && [ -x target/release/quetzaldeal-platformd ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
timeout -k 2 100 target/review-2/scenarios "$1" "$folder/record.txt"
status=$?
# A scenario that was stopped by the time limit leaves its daemons behind.
cat "$TMPDIR"/*/pids 2>/dev/null | while read -r pid; do
  case $(readlink "/proc/$pid/exe" 2>/dev/null) in
    */target/release/quetzaldeal-platformd) kill -KILL "$pid" 2>/dev/null ;;
  esac
done
rm -rf "$TMPDIR"
[ "$status" -le 1 ] || status=2
exit "$status"
