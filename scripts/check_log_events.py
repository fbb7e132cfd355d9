#!/usr/bin/env python3
"""Checks that the log lines of the on-call pages are those that the programs write, and the other way round.

    scripts/check_log_events.py

Run from the root of the repository. Prints each difference, and exits with 1 if there is one.

The search front logs events (`event=NAME` with fields); all of them stand in the first table of docs/on-call.md.
The co-ordinator logs sentences; each stands in docs/on-call.md or on the page of its subsystem, where `...` and words in
capitals stand for what varies.
"""

import re
import sys
from pathlib import Path

ON_CALL = Path("docs/on-call.md")
# The search front.
EVENT_SOURCES = ["linenthread-node", "linenthread-control", "linenthread-dataplane"]
# The co-ordinator. The packages beside the first give the texts of errors and events that it logs.
LINE_SOURCES = ["linenthread-service", "linenthread-fleet", "linenthread-link", "linenthread-protocol"]
LINE_PAGES = [ON_CALL, Path("docs/gateway.md"), Path("docs/failover.md")]

# `log::info!(peer = peer, cause:% = cause; "event=session_closed")`, or a text that begins with `event=`.
EVENT = re.compile(r'(?:log::\w+!\((?P<fields>[^;{}"]*);\s*)?"event=(?P<name>\w+)(?P<text>[^"]*)"')
FIELD = re.compile(r"(\w+)(?::\S+)?\s*=")
LINE_MACRO = re.compile(r"\b(info|warn|error)!\(((?:[^()]|\([^()]*\))*)\)")
TEXT = re.compile(r'"((?:[^"\\]|\\.)*)"')
CODE_SPAN = re.compile(r"`([^`]+)`")
PAGE_LINE = re.compile(r"^(INFO|WARN|ERROR) (.+)")
# What varies in a line on a page, and in a text of the code.
PAGE_VARIABLE = re.compile(r"\.\.\.|\b[A-Z]{3,}\b|: ")
CODE_VARIABLE = re.compile(r"\{[^}]*\}|: ")


def sources(packages: list[str]) -> list[str]:
    return [path.read_text() for package in packages for path in sorted(Path("crates", package, "src").rglob("*.rs"))]


def table_rows(page: str, heading: str) -> list[list[str]]:
    """The rows of the first table below a heading, without its head."""
    section = page.split(f"\n### {heading}\n", 1)[1]
    rows = re.search(r"^\|.*(?:\n\|.*)*", section, re.MULTILINE).group().splitlines()[2:]
    return [[cell.strip() for cell in row.strip("|").split(" | ")] for row in rows]


def events_in_code() -> dict[str, set[str]]:
    """The fields of each event."""
    events = {}
    for text in sources(EVENT_SOURCES):
        for found in EVENT.finditer(text):
            fields = FIELD.findall(found["fields"] or "") + FIELD.findall(found["text"])
            events.setdefault(found["name"], set()).update(fields)
    return events


def events_on_page(cell: str) -> tuple[list[str], list[str]]:
    """The events of a first cell, and the fields behind them: "`a`, `b` `field`"."""
    events, fields = [], []
    for item in cell.split(", "):
        spans = CODE_SPAN.findall(item)
        events.append(spans[0])
        fields += spans[1:]
    return events, fields


def check_events(page: str) -> list[str]:
    in_code = events_in_code()
    known = set()
    problems = []
    for cell, *_ in table_rows(page, "Log events"):
        events, fields = events_on_page(cell)
        known.update(events)
        problems += [f"{ON_CALL}: no program logs the event {event}" for event in events if event not in in_code]
        in_row = set().union(*(in_code.get(event, set()) for event in events))
        problems += [f"{ON_CALL}: {', '.join(events)} has no field {field}" for field in fields if field not in in_row]
    problems += [f"{ON_CALL}: the event {event} is missing" for event in sorted(set(in_code) - known)]
    for old, new in table_rows(page, "Old and new log events"):
        still_logged = [event for event in CODE_SPAN.findall(old) if event in in_code]
        problems += [f"{ON_CALL}: the old event {event} is still logged" for event in still_logged]
        unknown = [event for event in CODE_SPAN.findall(new) if event not in in_code]
        problems += [f"{ON_CALL}: no program logs the event {event}" for event in unknown]
    for path in [Path("README.md"), *sorted(Path("docs").glob("*.md"))]:
        unknown = [event for event in re.findall(r"`event=(\w+)", path.read_text()) if event not in in_code]
        problems += [f"{path}: no program logs the event {event}" for event in unknown]
    return problems


def pieces(text: str, variable: re.Pattern) -> list[str]:
    """The parts of a line between what varies in it."""
    return [piece.strip(" :;") for piece in variable.split(text) if piece.strip(" :;")]


def first_piece(text: str, variable: re.Pattern) -> str:
    return next(iter(pieces(text, variable)), "")


def lines_in_code() -> list[tuple[str, str]]:
    """The level and the text of each line that is logged; the last text of a call, as fields come first."""
    calls = [call for text in sources(LINE_SOURCES[:1]) for call in LINE_MACRO.findall(text)]
    return [(macro.upper(), texts[-1]) for macro, call in calls if (texts := TEXT.findall(call))]


def lines_on_page(page: Path) -> list[tuple[str, str]]:
    """The level and the text of each line."""
    matches = (PAGE_LINE.match(span) for span in CODE_SPAN.findall(page.read_text()))
    return [(match[1], match[2]) for match in matches if match]


def check_lines() -> list[str]:
    texts = "\n".join(text for source in sources(LINE_SOURCES) for text in TEXT.findall(source))
    levels = {}
    for level, line in lines_in_code():
        levels.setdefault(first_piece(line, CODE_VARIABLE), set()).add(level)
    problems = []
    for page in LINE_PAGES:
        for level, line in lines_on_page(page):
            if level not in levels.get(first_piece(line, PAGE_VARIABLE), {level}):
                problems.append(f"{page}: `{line}` is not logged as {level}")
            missing = [piece for piece in pieces(line, PAGE_VARIABLE) if piece not in texts]
            problems += [f"{page}: `{line}`: the co-ordinator logs no such text: {piece}" for piece in missing]
    pages = "\n".join(page.read_text() for page in LINE_PAGES)
    for _, line in lines_in_code():
        if first_piece(line, CODE_VARIABLE) not in pages:
            problems.append(f"{ON_CALL}: the line {line!r} is missing")
    return problems


def main() -> int:
    problems = check_events(ON_CALL.read_text()) + check_lines()
    for problem in problems:
        print(problem)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
