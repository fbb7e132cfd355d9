#!/usr/bin/env python3
"""Checks that the pages name only files, packages, functions, types, constants and tests that exist.

    scripts/check_paths.py [PAGE ...]

Without pages: README.md and all of docs/. Run from the root of the repository. Prints what is missing, with its page,
and exits with 1 if anything is.

A name in code font right behind a file (`reader.rs` `on_reply`, `submit`) must occur in that file. Elsewhere a name that
can only be one of the code's (`OrderLog::check_order`, `may_exit()`, `CALL_TIMEOUT`, `IngressPeer`, or of four words and
more, as tests are called) must occur in some source file. Comments do not count.

A page may name what is gone by now, as reports of incidents do. It lists such names in a line of its own, which is not
shown:

    <!-- names of the time: front.rs, IDLE_CROWDED -->
"""

import re
import sys
from pathlib import Path

# Paths from the root, and paths below a package of crates/.
PATH = re.compile(
    r"(?<![\w/.-])"
    r"((?:crates|docs|deploy|scripts|journal|\.ci)/[\w./-]*|linenthread-[\w-]+/(?:src|tests)/[\w./-]*)"
)
# A file without its folder, as the drawings of docs/ARCHITECTURE.md have them.
SOURCE_FILE = re.compile(r"(?<![\w/-])((?:[\w-]+/)*\w+\.rs)\b")
PACKAGE = re.compile(r"\blinenthread(?:-[a-z]+)+\b")
CODE_SPAN = re.compile(r"`([^`\n]+)`")
NAME = r"`[A-Za-z_]\w*(?:::\w+)*(?:\(\))?`"
# A file, a blank, and names of what is in it.
NAMES_BESIDE_FILE = re.compile(rf"`((?:[\w.-]+/)*\w+\.rs)` ({NAME}(?:, {NAME})*)")
# What can only be a name of the code: a path of a type, a call, a constant, a type of two words, a name of four words.
CODE_NAME = re.compile(
    r"[A-Z]\w+(?:::\w+)+(?:\(\))?|[a-z]\w+\(\)|[A-Z]+(?:_[A-Z0-9]+)+|(?:[A-Z][a-z]+){2,}|[a-z]+(?:_[a-z0-9]+){3,}"
)
NAMES_OF_THE_TIME = re.compile(r"<!-- names of the time: (.+?) -->", re.DOTALL)
# Constants of the system that pages name.
SYSTEM_NAMES = {"TCP_USER_TIMEOUT"}
COMMENT = re.compile(r"//.*")
WORD = re.compile(r"\w+")


class Sources:
    """The source files, and the words in each."""

    def __init__(self) -> None:
        paths = sorted(Path("crates").rglob("*.rs"))
        self.words_of = {str(path): set(WORD.findall(COMMENT.sub("", path.read_text()))) for path in paths}
        self.words = set().union(*self.words_of.values())

    def find(self, file: str) -> list[str]:
        """The files that a page may mean: `consensus/lease.rs` also stands for crates/linenthread-consensus/src/lease.rs,
        and the same below tests/."""
        below_package = file.split("/", 1)[-1]
        return [path for path in self.words_of if path.endswith((f"/{file}", f"/{below_package}"))]


def path_exists(path: str) -> bool:
    root = Path("crates") if path.startswith("linenthread-") else Path(".")
    return (root / path).exists()


def package_exists(name: str, programs: set[str]) -> bool:
    return Path("crates", name).exists() or name in programs


def missing_names(text: str, sources: Sources) -> list[str]:
    found = []
    for file, names in NAMES_BESIDE_FILE.findall(text):
        in_file = set().union(*(sources.words_of[path] for path in sources.find(file)))
        found += [f"{name} in {file}" for name in CODE_SPAN.findall(names) if not set(WORD.findall(name)) <= in_file]
    known = sources.words | SYSTEM_NAMES
    spans = (span for span in CODE_SPAN.findall(text) if CODE_NAME.fullmatch(span))
    return found + [span for span in spans if not set(WORD.findall(span)) <= known]


def missing(page: Path, sources: Sources, programs: set[str]) -> list[str]:
    text = page.read_text()
    of_the_time = {name.strip() for names in NAMES_OF_THE_TIME.findall(text) for name in names.split(",")}
    text = NAMES_OF_THE_TIME.sub("", text)
    paths = {match.rstrip(".") for match in PATH.findall(text)}
    found = [path for path in paths if not path_exists(path)]
    found += [file for file in set(SOURCE_FILE.findall(text)) - paths if not sources.find(file)]
    found += [name for name in set(PACKAGE.findall(text)) if not package_exists(name, programs)]
    found += missing_names(text, sources)
    return sorted(set(found) - of_the_time)


def main() -> int:
    pages = [Path(name) for name in sys.argv[1:]] or [Path("README.md"), *sorted(Path("docs").rglob("*.md"))]
    sources = Sources()
    programs = {path.stem for path in Path("crates").glob("*/src/bin/*.rs")}
    problems = [(page, name) for page in pages for name in missing(page, sources, programs)]
    for page, name in problems:
        print(f"{page}: {name} does not exist")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
