#!/usr/bin/env bash
# Exits with 1 if a read ran on a log that lacks a commit of its own session, 0 if
# none, and 2 if the case could not run. TROUBLE=0 runs it without the disruption. Writes record.txt.
exec "$(dirname "$0")/../standins-2/run_case.sh" stale_route "$(dirname "$0")"
