#!/usr/bin/env python3
"""Measures what each mechanism of peridothall-dispatch is worth.

  ablate.py --bench PROGRAM --work DIR [--jobs N] [--seeds 1-5] [--days A,B]
            [--mechanisms A,B] SITE...

Plays the days of the sites as they are, and once more with each mechanism
switched off (--without NAME in a copy of the repository below DIR), with the
same seeds. Prints a table: the mean change of the worth when the mechanism is
off, with its standard error; below zero, the mechanism is worth something.
Runs that are there already from an earlier call are not repeated.
"""
import argparse
import collections
import math
import os
import statistics
import subprocess
import types

import paired

SYSTEM = "deploy/system.toml"


def git(repo, *args):
    return subprocess.run(["git", "-C", repo, *args], check=True,
                          capture_output=True, text=True).stdout


def names(repo, bench):
    """All mechanisms, as the program lists them."""
    subprocess.run([bench, "build"], cwd=repo, check=True,
                   stdout=subprocess.DEVNULL)
    program = os.path.join(repo, "target", "peridothall-dispatch")
    listed = subprocess.run([program, "--name", "x", "--domain", "x", "--store",
                             "x", "--without", "list"], check=True,
                            capture_output=True, text=True).stdout
    return listed.split()


def copy_without(args, mechanism):
    """A copy of the repository that switches a mechanism off; "": none."""
    copy = os.path.join(args.work, mechanism or "all-on")
    if not os.path.isdir(copy):
        git(args.repo, "worktree", "add", "--detach", copy, "HEAD")
    if mechanism:
        path = os.path.join(copy, SYSTEM)
        with open(path) as f:
            text = f.read()
        if "--without" not in text:
            text = text.replace(" --cpu-share",
                                f" --without={mechanism} --cpu-share", 1)
            with open(path, "w") as f:
                f.write(text)
    return copy


def play(args, mechanism):
    out = os.path.join(args.work, f"{mechanism or 'all-on'}.jsonl")
    if not os.path.exists(out):
        what = f"without {mechanism}" if mechanism else "all mechanisms on"
        run = types.SimpleNamespace(
            bench=args.bench, sites=args.sites, days=args.days,
            seeds=args.seeds, jobs=args.jobs, out=out + ".part",
            why=f"ablation: {what}", repo=copy_without(args, mechanism))
        paired.play(run)
        os.rename(out + ".part", out)
    return paired.load(out)


def differences(on, off):
    """Differences of the worth by site."""
    sites = collections.defaultdict(list)
    for key in on.keys() & off.keys():
        if "worth" in on[key] and "worth" in off[key]:
            sites[key[0]].append(off[key]["worth"] - on[key]["worth"])
    return sites


def cell(values):
    if len(values) < 2:
        return "-"
    error = statistics.stdev(values) / math.sqrt(len(values))
    return f"{statistics.mean(values):+.4f} ± {error:.4f} ({len(values)})"


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--work", required=True)
    parser.add_argument("--repo", default=".")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--seeds", default="1-5")
    parser.add_argument("--days")
    parser.add_argument("--mechanisms")
    parser.add_argument("sites", nargs="+", metavar="SITE")
    args = parser.parse_args()
    os.makedirs(args.work, exist_ok=True)
    on = play(args, "")
    sites = sorted({key[0] for key in on})
    print("| off | " + " | ".join(sites) + " | rules broken |")
    print("| --- |" + " --- |" * (len(sites) + 1))
    wanted = (args.mechanisms.split(",") if args.mechanisms
              else names(copy_without(args, ""), args.bench))
    for mechanism in wanted:
        off = play(args, mechanism)
        found = differences(on, off)
        broken = sum(bool(r.get("breaks")) for r in off.values())
        print(f"| {mechanism} | " + " | ".join(cell(found[s]) for s in sites) +
              f" | {broken or ''} |", flush=True)


if __name__ == "__main__":
    main()
