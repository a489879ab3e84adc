#!/bin/sh
# Plays a case with the built programs and stand-ins: play.sh CASE. Called by the case's run.sh.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
root=$(cd "$(dirname "$0")/.." && pwd)
for program in proxy agent control-plane; do
    if [ ! -x "$root/target/release/tulipridge-$program" ]; then
        echo "target/release/tulipridge-$program is missing: build the programs first" >&2
        exit 2
    fi
done
built="$root/target/review/stand_ins"
if [ ! -x "$built" ] || [ -n "$(find "$root/review/stand_ins" -name '*.rs' -newer "$built")" ]; then
    "$root/review/build.sh" || exit 2
fi
folder=$(mktemp -d) || exit 2

# Ends what is left of the programs and stand-ins, which are listed in the file `pids`, and removes the temporary folder.
finish() {
    if [ -f "$folder/pids" ]; then
        while read -r pid; do
            if grep -qE "tulipridge|stand_ins" "/proc/$pid/cmdline" 2>/dev/null; then
                kill -KILL "$pid" 2>/dev/null
            fi
        done <"$folder/pids"
    fi
    rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' HUP INT TERM

timeout 110 "$root/target/review/stand_ins" "$1" "$root" "$folder" "$root/review/$1/record.txt"
code=$?
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
