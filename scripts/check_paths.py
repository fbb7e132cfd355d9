#!/usr/bin/env python3
"""Checks that the pages name only files and packages that exist.

    scripts/check_paths.py [PAGE ...]

Without pages: README.md and all of docs/. Run from the root of the repository. Prints what is missing, with its page,
and exits with 1 if anything is.
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


def path_exists(path: str) -> bool:
    root = Path("crates") if path.startswith("linenthread-") else Path(".")
    return (root / path).exists()


def package_exists(name: str, programs: set[str]) -> bool:
    return Path("crates", name).exists() or name in programs


def missing(page: Path, sources: list[str], programs: set[str]) -> list[str]:
    text = page.read_text()
    paths = {match.rstrip(".") for match in PATH.findall(text)}
    found = [path for path in paths if not path_exists(path)]
    for file in set(SOURCE_FILE.findall(text)) - paths:
        # `consensus/lease.rs` stands for crates/linenthread-consensus/src/lease.rs, and the same below tests/.
        name = file.split("/")[-1] if "/" not in file else file.split("/", 1)[1]
        if not any(source.endswith(f"/{name}") for source in sources):
            found.append(file)
    found += [name for name in set(PACKAGE.findall(text)) if not package_exists(name, programs)]
    return sorted(found)


def main() -> int:
    pages = [Path(name) for name in sys.argv[1:]] or [Path("README.md"), *sorted(Path("docs").glob("*.md"))]
    sources = [str(path) for path in Path("crates").rglob("*.rs")]
    programs = {path.stem for path in Path("crates").glob("*/src/bin/*.rs")}
    problems = [(page, name) for page in pages for name in missing(page, sources, programs)]
    for page, name in problems:
        print(f"{page}: {name} does not exist")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
