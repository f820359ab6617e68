#!/usr/bin/env python3
"""Plays days of a deployment with the same seeds and compares two sets of runs.

  paired.py play --bench PROGRAM --out FILE [--jobs N] [--seeds 1-5]
                 [--days A,B] [--repo DIR] [--why TEXT] SITE...
  paired.py compare BEFORE AFTER

`play` runs each day of each site once a seed (`run --vary --seed N`) in the
repository at --repo and writes one JSON row a run to FILE. `compare` pairs the
rows of two such files by site, day and seed and prints the mean difference of
the worth with its standard error.
"""
import argparse
import collections
import concurrent.futures
import json
import math
import os
import re
import statistics
import subprocess
import sys
import tempfile

# Fields of a report that a row keeps; "G" is the bench's column `worth`.
FIELDS = ("served", "refused", "failed", "breaks", "fault", "parts")


def days_of(site):
    """Names of the days with trouble in a site file."""
    with open(site) as f:
        names = re.findall(r'^name = "((?:trouble|scale)-\d+)"', f.read(), re.M)
    return sorted(set(names))


def play_one(args, site, day, seed):
    with tempfile.TemporaryDirectory() as scratch:
        report = os.path.join(scratch, "report.json")
        command = [args.bench, "run", site, day, "--vary", "--seed", str(seed),
                   "--report", report]
        if args.why:
            command += ["--why", args.why]
        done = subprocess.run(command, cwd=args.repo, capture_output=True,
                              text=True)
        row = {"site": os.path.basename(site).removesuffix(".toml"),
               "day": os.path.basename(day).removesuffix(".toml"),
               "seed": seed}
        snapshot = re.search(r"^snapshot (\w+)", done.stdout, re.M)
        row["journal"] = snapshot.group(1) if snapshot else None
        if not os.path.exists(report):
            row["error"] = (done.stdout + done.stderr)[-400:]
            return row
        with open(report) as f:
            whole = json.load(f)
    row["worth"] = whole["G"]
    for name in FIELDS:
        row[name] = whole.get(name)
    row["windows"] = sorted((w["worth"], w["name"]) for w in whole["windows"]
                            if w["n"] and w["worth"] is not None)[:4]
    return row


def parse_seeds(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def play(args):
    subprocess.run([args.bench, "build"], cwd=args.repo, check=True,
                   stdout=subprocess.DEVNULL)
    runs = [(site, day, seed) for site in args.sites
            for day in (args.days.split(",") if args.days else days_of(site))
            for seed in parse_seeds(args.seeds)]
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool, \
            open(args.out, "w") as out:
        futures = [pool.submit(play_one, args, *run) for run in runs]
        for done, future in enumerate(
                concurrent.futures.as_completed(futures), 1):
            out.write(json.dumps(future.result()) + "\n")
            out.flush()
            print(f"\r{done} of {len(runs)} runs", end="", file=sys.stderr)
    print(file=sys.stderr)
    summarize(load(args.out))


def load(path):
    with open(path) as f:
        return {(r["site"], r["day"], str(r["seed"])): r
                for r in map(json.loads, f)}


def summarize(rows):
    days = collections.defaultdict(list)
    for (site, day, _), row in rows.items():
        days[(site, day)].append(row)
    for (site, day), of_day in sorted(days.items()):
        worths = [r["worth"] for r in of_day if "worth" in r]
        spread = statistics.stdev(worths) if len(worths) > 1 else 0
        mean = statistics.mean(worths) if worths else float("nan")
        print(f"{site:24} {day:12} {len(worths):3} runs  worth {mean:.3f}"
              f"  spread {spread:.3f}")
    report_problems(rows)


def report_problems(rows):
    for key, row in sorted(rows.items()):
        if row.get("breaks") or row.get("fault") or "error" in row:
            print("PROBLEM", *key, row.get("journal"), row.get("breaks"),
                  row.get("fault"), row.get("error"))


def print_difference(name, differences):
    mean = statistics.mean(differences)
    error = (statistics.stdev(differences) / math.sqrt(len(differences))
             if len(differences) > 1 else float("nan"))
    print(f"{name:37} {len(differences):3} pairs  {mean:+.4f} +- {error:.4f}")


def compare(args):
    before, after = load(args.before), load(args.after)
    days = collections.defaultdict(list)
    for key in before.keys() & after.keys():
        if "worth" in before[key] and "worth" in after[key]:
            days[key[:2]].append(after[key]["worth"] - before[key]["worth"])
    sites = collections.defaultdict(list)
    for (site, day), differences in sorted(days.items()):
        print_difference(f"{site:24} {day:12}", differences)
        sites[site] += differences
    for site, differences in sorted(sites.items()):
        print_difference(f"{site:24} all", differences)
    report_problems(after)


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    verbs = parser.add_subparsers(required=True)
    p = verbs.add_parser("play")
    p.add_argument("--bench", required=True)
    p.add_argument("--out", required=True)
    p.add_argument("--jobs", type=int, default=3)
    p.add_argument("--seeds", default="1-5")
    p.add_argument("--days", help="default: all days with trouble")
    p.add_argument("--repo", default=".")
    p.add_argument("--why")
    p.add_argument("sites", nargs="+", metavar="SITE")
    p.set_defaults(run=play)
    p = verbs.add_parser("compare")
    p.add_argument("before")
    p.add_argument("after")
    p.set_defaults(run=compare)
    args = parser.parse_args()
    args.run(args)


if __name__ == "__main__":
    main()
