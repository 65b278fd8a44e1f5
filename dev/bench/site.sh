#!/usr/bin/env bash
# Starts a site of separate processes on loopback, measures it and stops it.
# usage: dev/bench/site.sh ENTRIES DOMAINS idle SECONDS
#        dev/bench/site.sh ENTRIES DOMAINS load RATE SECONDS TOKENS
set -eu
cd "$(dirname "$0")/../.."
entries=$1 domains=$2 what=$3
bin=${CARGO_TARGET_DIR:-target}/release
folder=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2> /dev/null; rm -rf "$folder"' EXIT
platform=127.0.0.1:19000
"$bin/cyclamenpath-stand-in" platform --listen $platform & pids+=($!)
sleep 0.5
"$bin/cyclamenpath-stand-in" tables --platform $platform
for i in $(seq 1 "$domains"); do
    "$bin/cyclamenpath-stand-in" engine --listen 127.0.0.1:0 --platform $platform \
        --service herd-llm --zone sofia-a --domain "d$i" --workers 8 & pids+=($!)
done
targets=() measured=()
for i in $(seq 1 "$entries"); do
    port=$((20000 + 3 * i))
    "$bin/cyclamenpath-stand-in" settings --name "entry-$i" --platform $platform --port $port \
        > "$folder/$i.json"
    "$bin/cyclamenpath" --log error entry --settings "$folder/$i.json" & pids+=($!)
    measured+=(--pid $!)
    targets+=(--entry "127.0.0.1:$port")
done
sleep "${SETTLE:-25}"
counters() { curl -s "http://$platform/admin/counters"; }
metric() {
    for i in $(seq 1 "$entries"); do curl -s "http://127.0.0.1:$((20001 + 3 * i))/metrics"; done |
        awk -v name="$1" 'index($1, name) == 1 {sum += $2} END {print sum + 0}'
}
before="$(counters) peer $(metric peer_bytes_written) asks $(metric admissions_asked_of_peers_total)"
if [ "$what" = idle ]; then
    "$bin/cyclamenpath-bench" idle "${measured[@]}" --seconds "$4"
else
    "$bin/cyclamenpath-bench" load "${targets[@]}" "${measured[@]}" --rate "$4" --seconds "$5" --tokens "$6"
    echo "straight to the engines of entry 1:"
    "$bin/cyclamenpath-bench" load --straight 127.0.0.1:20004 --platform $platform \
        --rate "$4" --seconds "$5" --tokens "$6"
fi
echo "before $before"
echo "after $(counters) peer $(metric peer_bytes_written) asks $(metric admissions_asked_of_peers_total)"
