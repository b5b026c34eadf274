#!/usr/bin/env bash
# Runs both halves at today's size on loopback and prints a report. Fails if a
# requirement in section 1 of docs/design.md did not hold. The logs are kept if
# the run fails, or if their directory is given as the first argument. The seeds
# of the load are 1 and 2 (see scripts/half.sh).
set -euo pipefail
cd "$(dirname "$0")/.."
keep=${1:-}
work=${keep:-$(mktemp -d)}
export work
mkdir -p "$work"
halves=()

finish() {
  local p
  for p in "${halves[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
  for p in "${halves[@]}"; do wait "$p" 2>/dev/null || true; done
  if [[ -n $keep || ${code:-1} -ne 0 ]]; then echo "logs are in $work"; else rm -rf "$work"; fi
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

for half in koysipaja utility; do
  scripts/half.sh "$half" &
  halves+=($!)
done
code=0
for p in "${halves[@]}"; do wait "$p" || code=1; done
halves=()
for half in koysipaja utility; do
  echo "== $half"
  if [[ -f $work/$half/verdict.txt ]]; then cat "$work/$half/verdict.txt"; else echo "FAIL no verdict"; fi
done
((code == 0)) && echo "every requirement held" || echo "a requirement did not hold" >&2
exit $code
