#!/usr/bin/env bash
# Starts one of the example deployments on this machine, applies its document, sends calls to all of
# its services and prints the results. Ctrl-C stops all processes that the script has started.
# Usage: meta/run_example.sh [armor|chuong-chung] [CALLS] [RATE]
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=${1:-armor}
calls=${2:-4000}
rate=${3:-300}
bin=build/release
folder=examples/$deployment
work=$(mktemp -d)
processes=()

stop_all() {
    local code=$?
    trap - EXIT INT TERM
    for process in "${processes[@]}"; do
        kill -KILL "$process" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    if [ "$code" -ne 0 ]; then
        echo "run failed with exit code $code; last lines of each log:" >&2
        tail -n 5 "$work"/*.log >&2 || true
    fi
    rm -rf "$work"
    exit "$code"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

case $deployment in
armor) network=11 mix=(levels=60 transfers=30 sheets=6 ledgers=4) ;;
chuong-chung) network=12 mix=(listings=60 bookings=30 bundles=6 histories=4) ;;
*) echo "unknown deployment '$deployment'; use armor or chuong-chung" >&2; exit 2 ;;
esac
platform=127.0.$network.100:7000

wait_for_file() {
    for _ in $(seq 100); do
        [ -s "$1" ] && return 0
        sleep 0.1
    done
    echo "$1 was not written within 10 s" >&2
    return 1
}

"$bin/burdockstep-standin" --role platform --listen "$platform" \
    --address-file "$work/platform" 2>"$work/platform.log" &
processes+=($!)

entries=()
for n in 1 2 3 4 5 6 7 8 9; do
    place=$(sed -n 's/^place = "\(.*\)"/\1/p' "$folder/$deployment-$n.toml")
    entries+=(--entry "127.0.$network.$n=$place")
done
"$bin/burdockstep-standin" --role upstreams --deployment "$folder/deployment.toml" \
    "${entries[@]}" --listen "127.0.$network.101:7000" --address-file "$work/upstreams" \
    2>"$work/upstreams.log" &
processes+=($!)
wait_for_file "$work/platform"
wait_for_file "$work/upstreams"

for n in 1 2 3 4 5 6 7 8 9; do
    "$bin/burdockstepd" --settings "$folder/$deployment-$n.toml" \
        --addresses-file "$work/entry-$n" 2>"$work/entry-$n.log" &
    processes+=($!)
done
for n in 1 2 3 4 5 6 7 8 9; do
    wait_for_file "$work/entry-$n"
    python3 meta/register_instance.py "$platform" "$folder/$deployment-$n.toml" "$work/entry-$n"
done
sleep 2

"$bin/burdockstep" apply "$folder/deployment.toml" --daemon "127.0.$network.1:7002" \
    --who example --reason "first document"

load=()
for n in 1 2 3 4 5 6 7 8 9; do
    load+=(--instance "127.0.$network.$n:7001")
done
for share in "${mix[@]}"; do
    load+=(--mix "$share")
done
for region in $(sed -n 's/^regions = \[\(.*\)\]/\1/p' "$folder/deployment.toml" | tr -d '",'); do
    load+=(--region "$region")
done
"$bin/burdockstep-load" "${load[@]}" --calls "$calls" --rate "$rate"
python3 meta/check_runs.py "127.0.$network.101:7000"
