#!/usr/bin/env python3
"""Writes days that pair faults, for `fleetbench run SITE DAY.toml`.

    scripts/paired_days.py SITE.toml OUTPUT_FOLDER FIRST_SEED COUNT

Each day draws three to six pairs of faults that strike within two seconds of each other, a rolling
restart of the control nodes, two to four planned works, one more fault in the closing seconds and a closing fault.
The same seed gives the same day. Traffic is that of the site's second standard day. Names of kinds, fields and values
are the bench's.
"""

import argparse
import random
import tomllib
from pathlib import Path

# Each fault: its kind, and for each of its fields the values that are drawn from.
CONTROL_FAULTS = [
    ("core_cut", {"count": [1], "for_s": [2.0, 4.5, 8.0],
                  "how": ["", "one_way", "leader", "leader race", "race", "both", "seeds", "hard"]}),
    ("node_kill", {"on": ["core"], "count": [1], "for_s": [0.5, 2.0, 4.0],
                   "how": ["", "power", "leader", "leader meet", "power race", "leader race drain",
                           "meet drain", "hard"]}),
    ("node_freeze", {"on": ["core"], "count": [1], "for_s": [1.0, 3.0, 7.0],
                     "how": ["", "leader", "leader meet", "race"]}),
    ("disk_full", {"count": [1], "for_s": [1.0, 4.0], "how": ["", "leader"]}),
    ("disk_stall", {"count": [1], "for_s": [1.0, 3.5], "how": ["", "leader"]}),
    ("disk_slow", {"count": [1], "x": [10.0, 30.0, 80.0], "for_s": [5.0], "how": ["", "leader"]}),
    ("clock_step", {"share": [0.3, 1.0], "x": [2000.0, 60000.0], "for_s": [5.0],
                    "how": ["", "back", "ahead", "leader"]}),
    ("after_ack_wipe", {"for_s": [1.5]}),
    ("after_ack_kill", {"count": [1], "for_s": [1.5], "how": ["", "kill", "timed"]}),
    ("replace_core", {"x": [0.5, 1.0, 3.0], "how": ["", "planned", "seed", "leader", "planned leader"]}),
    ("reset_conns", {"share": [0.2, 1.0], "x": [0.7]}),
    ("node_slow", {"on": ["core"], "count": [1], "x": [5.0], "for_s": [4.0], "how": ["", "leader"]}),
    ("herd_kill", {"on": ["core"], "for_s": [0.5, 1.5], "how": ["", "power"]}),
]
LATE_FAULTS = CONTROL_FAULTS[:8]
TRAFFIC_FAULTS = [
    ("garble", {"how": ["", "extra", "extra late"], "share": [0.5], "x": [0.03], "for_s": [5.0]}),
    ("answer_lost", {"how": ["", "reset"], "share": [0.5], "x": [0.05], "for_s": [5.0]}),
    ("srv_crash", {"how": ["", "dark", "gone", "across", "dark across"], "share": [0.15], "for_s": [4.0]}),
    ("srv_slow", {"how": ["across"], "share": [0.15], "x": [6.0], "for_s": [5.0]}),
    ("srv_grey", {"how": ["errors", "shed", "busy", "hang", "reset", "mute", "slow"], "share": [0.15],
                  "x": [0.4], "for_s": [5.0]}),
    ("replace_with_reuse", {"how": ["", "drain", "dark"], "share": [0.15]}),
    ("node_kill", {"share": [0.15], "for_s": [1.5], "how": ["", "power"]}),
    ("node_freeze", {"share": [0.15], "for_s": [2.5]}),
    ("node_cut", {"share": [0.2], "for_s": [4.0], "how": ["", "servers"]}),
    ("reset_conns", {"share": [0.3], "x": [0.6]}),
    ("retry_abuse", {"share": [0.3], "x": [2], "for_s": [4.0]}),
    ("burst", {"x": [1.6], "for_s": [3.0]}),
]
PLANNED_WORK = [
    ("config_change", {"how": ["route", "weights", "timeout", "idle"]}),
    ("config_race", {"count": [1, 3], "gap_s": [0.6, 1.2]}),
    ("config_storm", {"for_s": [6.0], "gap_s": [0.2]}),
    ("reshard", {"x": [3.3]}),
    ("roll_term", {"share": [0.5], "x": [1.0], "gap_s": [1.0], "how": ["", "busy", "remove"]}),
    ("seed_turnover", {}),
    ("hup", {"share": [0.5], "gap_s": [2.0]}),
    ("bad_config", {"count": [2], "gap_s": [1.0],
                    "how": ["cut_short", "old_version", "same_version", "shared_key"]}),
    ("release", {"share": [0.4], "x": [1], "gap_s": [1.0]}),
    ("scale_in", {"share": [0.15]}),
]
# What only sites with a platform and with tenants have.
DUTY_FAULTS = [
    ("kill_leader", {"for_s": [0.5, 2.0, 4.0], "how": ["kill", "freeze", "power", "cut", "kill meet", "power race"]}),
    ("cloud_down", {"for_s": [2.0, 4.0, 7.0], "how": ["silent", "busy", "reset"]}),
    ("cloud_slow", {"x": [10.0, 50.0], "for_s": [5.0]}),
]
TENANT_WORK = [
    ("revoke", {"count": [1, 2, 3], "gap_s": [0.5, 1.5]}),
    ("config_change", {"how": ["tenant", "quota"]}),
]
ROLLING_CONTROL_RESTART = (
    "roll_term",
    {"on": ["core"], "share": [1.0], "x": [1.0], "gap_s": [3.0], "how": ["", "remove", "meet"]},
)
CLOSINGS = ["power_off_all", "kill_all", "wipe_after_ack"]
WIPE_TIMINGS = ["aimed", "timed", ""]
# Seconds between the two faults of a pair.
PAIR_GAPS_S = [0.0, 0.05, 0.3, 1.0, 1.6, 2.0]
# The fewest and the most of each, and the earliest and the latest time in seconds from the start of the day.
PAIRS = (3, 6)
PAIR_TIMES_S = (6, 24)
LATE_TIMES_S = (30, 33.5)
PLANNED_WORKS = (2, 4)
PLANNED_TIMES_S = (1, 30)
RESTART_TIMES_S = (6, 26)
CLOSING_DOWN_S = (0.4, 1.5)


def toml_value(value):
    """A value as TOML writes it; tables stand in line."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {toml_value(item)}" for key, item in value.items()) + " }"
    return f'"{value}"' if isinstance(value, str) else f"{value}"


def draw(source, at, event):
    """One entry of a day, with each field drawn; `event` is a fault or planned work."""
    kind, fields = event
    entry = {"at": round(at, 2), "kind": kind}
    entry.update({field: source.choice(values) for field, values in fields.items()})
    return entry


def draw_faults(source, has_duties):
    """Pairs of faults, and one late in the day. Where there are duties, half of the pairs begin with a fault of theirs."""
    faults = []
    for _ in range(source.randint(*PAIRS)):
        at = source.uniform(*PAIR_TIMES_S)
        first = DUTY_FAULTS if has_duties and source.random() < 0.5 else CONTROL_FAULTS
        faults.append(draw(source, at, source.choice(first)))
        at += source.choice(PAIR_GAPS_S)
        faults.append(draw(source, at, source.choice(CONTROL_FAULTS + TRAFFIC_FAULTS)))
    faults.append(draw(source, source.uniform(*LATE_TIMES_S), source.choice(LATE_FAULTS)))
    return sorted(faults, key=lambda entry: entry["at"])


def draw_planned(source, has_duties):
    """The rolling restart, and other planned work; a change of tenants' keys where there are any."""
    planned = [draw(source, source.uniform(*RESTART_TIMES_S), ROLLING_CONTROL_RESTART)]
    if has_duties:
        planned.append(draw(source, source.uniform(*PLANNED_TIMES_S), source.choice(TENANT_WORK)))
    for _ in range(source.randint(*PLANNED_WORKS)):
        planned.append(draw(source, source.uniform(*PLANNED_TIMES_S), source.choice(PLANNED_WORK)))
    return sorted(planned, key=lambda entry: entry["at"])


def draw_closing(source):
    """The fault that ends the day."""
    closing = {"kind": source.choice(CLOSINGS), "down_s": round(source.uniform(*CLOSING_DOWN_S), 2)}
    if closing["kind"] == "wipe_after_ack":
        closing["how"] = source.choice(WIPE_TIMINGS)
    return closing


def day(site, seed):
    """The text of one day."""
    source = random.Random(seed)
    traffic = site["day"][1]["traffic"]
    has_duties = "cloud" in site
    lists = {
        "faults": draw_faults(source, has_duties),
        "plan": draw_planned(source, has_duties),
        "traffic": traffic,
    }
    lines = [f'name = "paired-{seed}"', f"seed = {seed}", f"closing = {toml_value(draw_closing(source))}"]
    for name, entries in lists.items():
        lines.append(f"{name} = [")
        lines.extend(f"  {toml_value(entry)}," for entry in entries)
        lines.append("]")
    return "\n".join(lines) + "\n"


def arguments():
    parser = argparse.ArgumentParser(description="Writes days that pair faults.")
    parser.add_argument("site", type=Path, help="the site's file; its second day gives the traffic")
    parser.add_argument("folder", type=Path, help="where the days are written, as NAME-SEED.toml")
    parser.add_argument("first_seed", type=int)
    parser.add_argument("count", type=int, help="how many days, each with the next seed")
    return parser.parse_args()


def main():
    flags = arguments()
    site = tomllib.loads(flags.site.read_text())
    for seed in range(flags.first_seed, flags.first_seed + flags.count):
        (flags.folder / f"{site['name']}-{seed}.toml").write_text(day(site, seed))


if __name__ == "__main__":
    main()
