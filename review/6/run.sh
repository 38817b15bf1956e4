#!/usr/bin/env bash
# Exits with 1 if an acknowledged commit is not in the log of the promoted database, 0 if
# none, and 2 if the case could not run. TROUBLE=0 runs it without the disruption. Writes record.txt.
exec "$(dirname "$0")/../standins-2/run_case.sh" lost_commits "$(dirname "$0")"
