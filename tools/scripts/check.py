#!/usr/bin/env python3
"""Builds and runs all tests, and prints how many passed.

Failures that KNOWN-RED.txt names are printed apart and do not fail the run.
With --sanitize the tests run under the address and undefined-behaviour
sanitizers, in a build folder of their own.
"""

import argparse
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
COUNTS = re.compile(r"^counts: (\d+) passed, (\d+) failed$", re.MULTILINE)
FAILURE = re.compile(r"^\S+:\d+:[FE]:[^:]*:([^:]+):(\d+):", re.MULTILINE)
ENDED = re.compile(r"^ *\d+/\d+ (\S+) +(?:TIMEOUT|INTERRUPT|ERROR) ", re.MULTILINE)
RED_TEST = re.compile(r"^test: (\S+)", re.MULTILINE)


def build(folder, sanitize):
    if not (folder / "build.ninja").exists():
        options = ["-Db_sanitize=address,undefined", "-Db_lundef=false"] if sanitize else []
        subprocess.run(["meson", "setup", *options, str(folder), str(ROOT)], check=True,
                       stdout=subprocess.DEVNULL)
    subprocess.run(["ninja", "-C", str(folder), "--quiet"], check=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sanitize", action="store_true")
    sanitize = parser.parse_args().sanitize
    folder = ROOT / ("build-sanitize" if sanitize else "build")
    build(folder, sanitize)
    done = subprocess.run(["meson", "test", "-C", str(folder), "--no-rebuild",
                           "--print-errorlogs"], check=False)
    log = (folder / "meson-logs" / "testlog.txt").read_text(encoding="utf-8", errors="replace")
    counts = [(int(p), int(f)) for p, f in COUNTS.findall(log)]
    passed = sum(p for p, _ in counts)
    failed = sum(f for _, f in counts)
    failures = {f"{name}:{index}" for name, index in FAILURE.findall(log)}
    known = set(RED_TEST.findall(KNOWN_RED.read_text(encoding="utf-8"))) \
        if KNOWN_RED.exists() else set()
    red = sorted(failures & known)
    for name in red:
        print(f"known red: {name}")
    for name in sorted(failures - known):
        print(f"failed: {name}")
    # A program that was ended reports no counts.
    ended = sorted(set(ENDED.findall(log)))
    for name in ended:
        print(f"ended before it was over: {name}")
    failed += len(ended) - len(red)
    if done.returncode != 0 and failed == 0 and not red:
        failed = 1
    print(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
