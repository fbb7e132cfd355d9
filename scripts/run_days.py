#!/usr/bin/env python3
"""Plays days of one's own and says which rules each broke; exit code 1 if any did, 2 if a day was not played.

    scripts/run_days.py BENCH SITE.toml WHY DAY.toml [DAY.toml ...]

A day is judged by the report's list of broken rules and by its fault, not by its score.
"""

import json
import subprocess
import sys
import tempfile
from pathlib import Path


def play(bench, site, why, day):
    """The broken rules of a day and their counts, and its fault; None if it was not played."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [bench, "run", site, day, "--jobs", "1", "--why", why, "--report", str(report)]
        subprocess.run(command, capture_output=True, check=False)
        if not report.exists():
            return None
        return json.loads(report.read_text())


def main():
    bench, site, why, *days = sys.argv[1:]
    status = 0
    for day in days:
        report = play(bench, site, why, day)
        if report is None:
            print(f"{day}: not played")
            status = 2
            continue
        prices = {name: amount for name, amount, _ in report["prices"]}
        broken, fault = report["breaks"], report["fault"]
        print(f"{day}: rules broken: {broken or 'none'}, fault: {fault or 'none'}, "
              f"duties missed: {prices['duties missed']}, served: {report['served']:.3f}", flush=True)
        if broken or fault:
            status = max(status, 1)
    sys.exit(status)


if __name__ == "__main__":
    main()
