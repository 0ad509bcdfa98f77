#!/usr/bin/env bash
# Runs generated scenarios ("days") on the operators' bench: each kind of fault or planned
# change alone, twice within 2 s, overlapping with the loss of a control host, and
# overlapping with another kind. Prints one line for each day. Needs the bench's program
# and a site file.
#
#   scripts/play-kinds.sh FLEETBENCH SITE [JOBS [SHAPES]]     SHAPES of "once twice core pair"
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 site=$2 jobs=${3:-2} shapes=${4:-once twice core pair}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

# kind|fields; the bench's command `kinds` documents them
kinds='burst|x = 2.0, for_s = 4.0
retry_abuse|x = 3.0, share = 0.4, for_s = 5.0
give_up|share = 0.3, for_s = 5.0
srv_crash|share = 0.2, for_s = 4.0, how = "dark"
srv_crash|share = 0.2, how = "gone"
srv_slow|share = 0.2, x = 5.0, for_s = 6.0
srv_grey|share = 0.2, x = 0.5, for_s = 6.0, how = "errors"
srv_grey|share = 0.2, x = 0.5, for_s = 6.0, how = "hang"
srv_grey|share = 0.2, x = 0.5, for_s = 6.0, how = "reset mute"
release|share = 0.3, gap_s = 0.8
scale_out|share = 0.3, gap_s = 1.0
scale_in|share = 0.2
scale_in|share = 0.2, how = "spot", x = 1.5
answer_lost|share = 0.6, x = 0.1, for_s = 5.0
garble|share = 0.6, x = 0.05, for_s = 5.0
garble|share = 0.6, x = 0.05, for_s = 5.0, how = "extra late"
garble|share = 0.6, x = 0.05, for_s = 5.0, how = "unframed"
garble|share = 0.6, x = 0.05, for_s = 5.0, how = "early"
node_kill|share = 0.3
node_kill|on = "core", count = 1, for_s = 3.0, how = "leader power meet"
node_freeze|share = 0.3, for_s = 3.0
node_freeze|on = "core", count = 1, for_s = 3.0, how = "leader"
node_freeze|on = "core", count = 1, for_s = 3.0, how = "renewed"
roll_term|share = 1.0, gap_s = 1.0, how = "busy"
herd_kill|share = 0.6, for_s = 2.0
herd_kill|on = "core", for_s = 2.0, how = "off"
replace_core|x = 1.0
replace_core|x = 1.0, how = "planned"
seed_turnover|
after_ack_kill|for_s = 2.0
after_ack_wipe|for_s = 2.0
disk_slow|count = 1, x = 30.0, for_s = 5.0, how = "leader"
disk_full|count = 1, for_s = 5.0, how = "leader"
disk_stall|count = 1, for_s = 4.0, how = "leader"
hup|share = 1.0, gap_s = 2.0
core_cut|count = 1, for_s = 5.0, how = "leader race hard"
core_cut|for_s = 5.0, how = "split"
core_cut|for_s = 4.0, how = "behind"
core_cut|for_s = 4.0, how = "one_way leader"
core_cut|for_s = 4.0, how = "relieve"
core_cut|for_s = 4.0, how = "seeds"
core_cut|for_s = 4.0, how = "lure"
node_cut|share = 0.3, for_s = 5.0
node_cut|share = 0.3, for_s = 5.0, how = "all"
node_cut|share = 0.3, for_s = 5.0, how = "servers reborn"
lossy|x = 0.05, for_s = 5.0
config_change|how = "timeout"
config_storm|gap_s = 0.2, for_s = 4.0
config_race|count = 4, gap_s = 0.8
bad_config|count = 6, gap_s = 0.4
ack_lost|x = 0.7, for_s = 6.0
big_config|count = 400
model_shift|count = 2, for_s = 4.0
applied_late|x = 0.5, for_s = 6.0
srv_cut|share = 0.3, for_s = 4.0
srv_cut|share = 0.3, for_s = 4.0, how = "reborn"
srv_cut|share = 0.3, for_s = 4.0, how = "some one_way"
replace_with_reuse|share = 0.2
replace_with_reuse|share = 0.2, how = "drain"
node_slow|share = 0.2, x = 5.0, for_s = 4.0
clock_step|x = 3000, share = 0.5, for_s = 4.0, how = "back"
clock_step|x = 3000, share = 0.5, for_s = 4.0, how = "ahead"
reset_conns|share = 0.5, x = 0.7'

planned=" hup roll_term release scale_out scale_in config_change config_storm config_race bad_config big_config model_shift "

# day NAME SEED PLAN FAULTS writes the scenario file of one day.
day() {
  printf 'name = "%s"\nseed = %s\nslot = "trouble"\nlabels = []\nclosing = { kind = "kill_all", down_s = 0.8 }\nplan = [\n%s]\nfaults = [\n%s]\n' "$1" "$2" "$3" "$4" > "$dir/$1.toml"
}

# add AT KIND FIELDS appends one event to plan or faults.
add() {
  local entry="  { at = $1, kind = \"$2\"${3:+, $3} },"$'\n'
  if [[ $planned == *" $2 "* ]]; then plan+=$entry; else faults+=$entry; fi
}

mapfile -t all <<< "$kinds"
for n in "${!all[@]}"; do
  IFS='|' read -r kind fields <<< "${all[n]}"
  for shape in $shapes; do
    plan="  { at = 1.0, kind = \"model_shift\", count = 1, for_s = 6.0 },"$'\n' faults=""
    add 6.0 "$kind" "$fields"
    [ "$shape" = twice ] && add 7.5 "$kind" "$fields"
    # The other kind is a third of the list further on, so that every kind gets one.
    IFS='|' read -r other more <<< "${all[(n + ${#all[@]} / 3) % ${#all[@]}]}"
    [ "$shape" = pair ] && add 7.0 "$other" "$more"
    [ "$shape" = core ] && faults+="  { at = 6.5, kind = \"node_kill\", on = \"core\", count = 1, for_s = 2.5, how = \"leader race\" },"$'\n'
    day "$(printf '%02d-%s-%s' "$((n + 1))" "$kind" "$shape")" "$((1001 + n))" "$plan" "$faults"
  done
done

export bench site
play() {
  out=$("$bench" run "$site" "$1" 2>&1 || true)
  line=$(grep -m1 -E ' +[0-9]+/[0-9]+ +[0-9.-]+ +[0-9.-]+ ' <<< "$out" || true)
  printf '%s %s\n' "$(basename "$1" .toml)" "${line:-$(tail -n 2 <<< "$out" | tr '\n' ' ')}"
}
export -f play
find "$dir" -name '*.toml' | sort | xargs -P "$jobs" -I{} bash -c 'play {}'
