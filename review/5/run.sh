#!/bin/sh
# Runs the case; see claim.txt. Exit status: 0 the rule held, 1 it was broken, 2 it could not run.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../standins/run_case.sh" stale-route "$here"
