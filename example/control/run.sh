#!/bin/sh
# Demonstrates configuration changes, lost replicas and a rollback with five control replicas and two proxies on this machine.
# It stops all processes that it has started.
#
#     example/control/run.sh            runs all steps and exits
#     example/control/run.sh --stay     keeps running after the steps until Ctrl-C, for commands from another shell
#
# It needs the ports 7301 to 7305, 8500, 9101, 9102 and 9201 to 9204 on loopback, and writes only to a temporary directory.
set -eu
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
started=""

# end stops all processes and removes the temporary directory.
end() {
	trap - EXIT INT TERM
	for process in $started; do kill -TERM "$process" 2>/dev/null || true; done
	for process in $started; do wait "$process" 2>/dev/null || true; done
	rm -rf "$work"
}
trap end EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# say prints the heading of a step.
say() { printf '\n== %s\n' "$*"; }
# show prints a sandpass command and runs it.
show() {
	printf '$ sandpass %s\n' "$*"
	"$work/sandpass" "$@"
}

# replica N starts control replica cN.
replica() {
	"$work/sandpass" control serve --config "$work/c$1.toml" 2>>"$work/c$1.log" &
	eval "replica$1=$!"
	started="$started $!"
}

# until_ready COMMAND... repeats a command until it succeeds, for at most 15 s.
until_ready() {
	tries=0
	until "$@" >/dev/null 2>&1; do
		tries=$((tries + 1))
		if [ "$tries" -gt 150 ]; then
			echo "not ready after 15 s: $*" >&2
			cat "$work"/*.log >&2
			exit 1
		fi
		sleep 0.1
	done
}

# call N M sends the request with Req-Id M through proxy nN.
call() {
	curl -sS -H "Req-Id: $2" -H 'Req-Owner: acme' -H 'Req-Deadline: 2' -w "proxy n$1 answers %{http_code}\n" \
		"http://127.0.0.1:920$1/look/7"
}

# connected N succeeds if N proxies are connected to control.
connected() { "$work/sandpass" control status | grep -q "of $1 connected"; }

say "building"
go build -o "$work/" ./cmd/sandpass ./cmd/sandpass-control ./example/toy

# Five replicas in three regions. Each has the same list of replicas; in production each would be on its own machine.
for n in 1 2 3 4 5; do
	{
		printf 'fleet = "shop"\nname = "c%d"\nfolder = "c%d"\nlisten = "127.0.0.1:730%d"\n' "$n" "$n" "$n"
		printf 'check_base = "%s/example/config.json"\n' "$PWD"
		for m in 1 2 3 4 5; do
			case $m in 1 | 2) region=eu ;; 3 | 4) region=us ;; 5) region=ap ;; esac
			printf '[[replica]]\nname = "c%d"\naddress = "127.0.0.1:730%d"\nregion = "%s"\n' "$m" "$m" "$region"
		done
	} >"$work/c$n.toml"
	replica "$n"
done
export SANDPASS_CONTROL=127.0.0.1:7301,127.0.0.1:7302,127.0.0.1:7303,127.0.0.1:7304,127.0.0.1:7305
until_ready "$work/sandpass" control status --timeout 2s

# Two backends and their discovery service.
"$work/toy" 2>"$work/toy.log" &
started="$started $!"

# Two proxies in different zones. Each has its own configuration file, and an operator file that lists the replicas.
for n in 1 2; do
	sed -e "s/\"n0\"/\"n$n\"/" -e "s/127.0.0.1:9000/127.0.0.1:920$n/" -e "s/127.0.0.1:9100/127.0.0.1:920$((n + 2))/" \
		example/config.json >"$work/n$n.json"
	mkdir "$work/n$n"
	cat >"$work/n$n.toml" <<END
[state]
folder = "$work/n$n"
fleet = "shop"
[control]
replicas = ["127.0.0.1:730$n", "127.0.0.1:7303", "127.0.0.1:7305"]
fleet = "shop"
region = "eu"
zone = "eu-$n"
service = "cart"
END
	"$work/sandpass" serve --config "$work/n$n.json" --operator "$work/n$n.toml" 2>"$work/n$n.log" &
	started="$started $!"
done
until_ready connected 2
until_ready curl -sf http://127.0.0.1:9201/-/ready
until_ready curl -sf http://127.0.0.1:9202/-/ready

say "a change for the whole fleet, previewed first; it is in force at both proxies when the command returns"
echo '{"settings": {"overage_utility": 0.2}}' >"$work/more.json"
show control diff "$work/more.json" --scope fleet
show control apply "$work/more.json" --scope fleet --reason "more room for peaks" --author you --wait
show control status --proxies

say "a narrower scope overrides a wider one"
echo '{"settings": {"overage_utility": 0.4}}' >"$work/zone.json"
show control apply "$work/zone.json" --scope zone:eu-2 --reason "a trial in one zone" --author you --wait
show control show --proxy n2 --region eu --zone eu-2 --service cart --origins

say "an invalid configuration is rejected (exit code 4)"
echo '{"settings": {"tick_ms": "soon"}}' >"$work/wrong.json"
show control apply "$work/wrong.json" --scope fleet --reason "a mistake" --author you || echo "exit code $?"

say "two of five replicas stop: changes still work"
kill -TERM "$replica1" "$replica2"
wait "$replica1" "$replica2" || true
until_ready connected 2
echo '{"settings": {"overage_utility": 0.3}}' >"$work/less.json"
show control apply "$work/less.json" --scope fleet --reason "with three of five" --author you --wait

say "a third replica stops: changes are rejected (exit code 5), the proxies answer as before, --stale shows the last known state"
kill -TERM "$replica3"
wait "$replica3" || true
show control apply "$work/more.json" --scope fleet --reason "too few" --author you --timeout 3s || echo "exit code $?"
show control history --stale
call 1 31
call 2 32

say "the replicas start again, and a rollback creates a new revision"
replica 1
replica 2
replica 3
until_ready "$work/sandpass" control status --timeout 2s
until_ready connected 2
show control rollback 1 --reason "back to the first" --author you --wait
show control history
show control status

if [ "${1:-}" = --stay ]; then
	say "running until Ctrl-C; in another shell: export SANDPASS_CONTROL=$SANDPASS_CONTROL"
	echo "the program is $work/sandpass"
	wait
fi
