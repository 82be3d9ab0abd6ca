#!/bin/sh
# A gateway on loopback and what it does: three controllers, three proxies, the platform and appliances that
# stand in for real ones. Needs Linux, cargo and the ports of 127.0.0.1, .11 to .13 and .21 to .23 that the settings
# files name. Takes about two minutes after the build. All that it makes is under target/.
#
#   examples/gateway/run.sh          shows it all and ends it
#   examples/gateway/run.sh --stay   starts it, sends a configuration and clients, and stays until Ctrl-C
set -eu
cd "$(dirname "$0")/../.."

magpieline=target/release/magpieline-gateway
gateway=target/release/examples/gateway
work=target/gateway
control=127.0.0.11:7080,127.0.0.12:7080,127.0.0.13:7080
fronts="127.0.0.21:7000 127.0.0.22:7000 127.0.0.23:7000"
pids=""

say() { printf '\n== %s\n' "$*"; }
show() { printf '$ %s\n' "$*"; "$@" || printf '(ended with %s)\n' "$?"; }

# Ends what this script has started, by its ids; in order first.
finish() {
    trap - EXIT INT TERM
    for pid in $pids; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in $pids; do wait "$pid" 2>/dev/null || true; done
}
trap finish EXIT
trap 'finish; exit 130' INT TERM

# Starts an agent; its log goes to a file of its name.
agent() { # name role
    "$magpieline" "$2" --settings "$work/$1.toml" 2>>"$work/$1.log" &
    eval "pid_$(echo "$1" | tr - _)=$!"
    pids="$pids $!"
}

# Ends an agent at once, and waits until it is gone.
killed() { # name
    pid=$(eval "echo \$pid_$(echo "$1" | tr - _)")
    kill -KILL "$pid"
    wait "$pid" 2>/dev/null || true
}

# Waits until a command's output has a line that matches, for twenty seconds.
until_seen() { # pattern command...
    pattern=$1
    shift
    tries=0
    while ! "$@" 2>/dev/null | grep -Eq "$pattern"; do
        tries=$((tries + 1))
        if [ $tries -gt 100 ]; then
            echo "run.sh: waited twenty seconds for '$pattern' of: $*; ends of the logs in $work/:" >&2
            for log in "$work"/*.log; do echo "$log: $(tail -n 1 "$log")" >&2; done
            exit 1
        fi
        sleep 0.2
    done
}

leader() { # the inner address of the machine that leads
    for address in 127.0.0.11:7720 127.0.0.12:7720 127.0.0.13:7720; do
        if "$magpieline" view "$address" 2>/dev/null | grep -Eq '^leads +true'; then
            echo "$address"
            return
        fi
    done
}

# Rolls the calendar service out; stops the old version's appliances if that is delivered, else the new one's.
roll() { # new old
    printf '$ %s\n' "$magpieline rollout $control calendar $1 --within 20s --wait"
    if "$magpieline" rollout "$control" calendar "$1" --within 20s --wait; then
        show "$gateway" stop calendar "$2"
    else
        show "$gateway" stop calendar "$1"
    fi
}

say "Building"
cargo build --release -p magpieline-gateway --bin magpieline-gateway --example gateway

say "The files are sound"
show "$magpieline" check examples/gateway/gateway.json
show "$magpieline" check examples/gateway/proxy-1.toml

rm -rf "$work"
mkdir -p "$work/controller-1" "$work/controller-2" "$work/controller-3"
cp examples/gateway/*.toml examples/gateway/gateway.json "$work/"

say "The platform, three controllers and three proxies start; logs are in $work/"
"$gateway" platform >"$work/platform.log" 2>&1 &
pids="$pids $!"
for n in 1 2 3; do agent "controller-$n" controller; done
for n in 1 2 3; do agent "proxy-$n" proxy; done
until_seen '^leader +127' "$magpieline" view 127.0.0.11:7720
echo "Led by $(leader)."

say "A configuration is sent; any controller takes it, the leader decides"
show "$magpieline" send "$control" "$work/gateway.json"
show "$magpieline" read "$control"
for n in 1 2 3; do until_seen '^edition +1$' "$magpieline" view "127.0.0.2$n:7720"; done

if [ "${1:-}" = --stay ]; then
    say "It stays until Ctrl-C. In another shell, for example:"
    echo "  $magpieline view 127.0.0.11:7720 127.0.0.21:7720 --every 2s"
    echo "  $gateway start calendar v2 6"
    echo "  $magpieline rollout $control calendar v2 --within 20s --wait"
    echo "  curl -i -H 'Host: booking.example' -H 'Try-Id: 1' -H 'Time-Left-Ms: 2000' http://127.0.0.21:7000/slots/1"
    # shellcheck disable=SC2086
    "$gateway" clients $fronts --seconds 86400 &
    pids="$pids $!"
    wait $!
    exit
fi

say "What is unsound is refused, by this program and by the gateway"
sed 's/"service": "firing"/"service": "kiln"/; s/"edition": 1/"edition": 2/' "$work/gateway.json" >"$work/unsound.json"
show "$magpieline" send "$control" "$work/unsound.json"
show "$magpieline" send --unchecked "$control" "$work/unsound.json"

say "Clients send requests; a line every two seconds from here on"
# shellcheck disable=SC2086
"$gateway" clients $fronts --seconds 600 &
clients=$!
pids="$pids $!"
sleep 5

say "Calendar v2 is started beside v1 and rolled out"
show "$gateway" start calendar v2 6
roll v2 v1
sleep 5

say "Calendar v3 is bad: a third of its answers fail. It is taken back by itself"
show "$gateway" start calendar v3 6 --fail 0.33
roll v3 v2
echo "Why, by the leader's log:"
grep -h 'rollout: calendar to v3: Returned' "$work"/controller-*.log || true
sleep 3

say "The leader is killed; another one leads, clients go on"
led=$(leader)
n=${led#127.0.0.1}
n=${n%%:*}
echo "Led by $led, controller-$n: killed."
killed "controller-$n"
until_seen . leader
echo "Led by $(leader)."
sed 's/"edition": 1/"edition": 2/; s/"tries": 2/"tries": 3/' "$work/gateway.json" >"$work/second.json"
show "$magpieline" send "$control" "$work/second.json"
sleep 3

say "Its store, read while it is down; then it comes back"
show "$magpieline" store "$work/controller-$n"
agent "controller-$n" controller
until_seen 'edition +2' "$magpieline" view "$led"
show "$magpieline" view "$led" 127.0.0.21:7720

say "A machine loses its disk: it comes back as another life, and is filled by the others"
n=3
echo "controller-$n: killed, its store removed."
killed "controller-$n"
rm -f "$work/controller-$n/store.redb"
# It has been there before: as a founder that has forgotten its votes it would do harm.
sed -i 's/^first_run = true/first_run = false/' "$work/controller-$n.toml"
agent "controller-$n" controller
until_seen 'edition +2' "$magpieline" view "127.0.0.1$n:7720"
until_seen "address 127.0.0.1$n:7720 +life [1-9]" "$magpieline" view "127.0.0.1$n:7720"
"$magpieline" view "127.0.0.1$n:7720" | grep -A 4 '^voters'

say "A proxy's settings change: SIGHUP, no restart"
sed -i 's/^retry_slack.*/retry_slack = 30/' "$work/proxy-1.toml"
kill -HUP "$pid_proxy_1"
until_seen 'settings: ' cat "$work/proxy-1.log"
grep 'settings: ' "$work/proxy-1.log"

say "What the appliances have run"
kill -TERM "$clients"
wait "$clients" || true
show "$gateway" tally
