#!/usr/bin/env python3
"""Counts, by crate, what a reader of the code meets: run from the root of the repository.

Columns: results whose error is a `String`, functions longer than 60 lines, public items without a doc comment
(sources only, as seen by a line scan, not by rustdoc), tests, and assertions (sources and tests).
"""

import collections
import re
import subprocess

PUBLIC_ITEM = re.compile(r"^\s*pub (?:async |const |unsafe )*(?:fn|struct|enum|trait|type|static|const|mod) \w+")
FUNCTION = re.compile(r"^(\s*)(?:pub(?:\([^)]*\))? )?(?:async |const |unsafe )*fn \w+")
STRING_ERROR = re.compile(r"Result<[^;{]*, String>")
TEST = re.compile(r"#\[(?:tokio::)?test\b")
ASSERTION = re.compile(r"\b(?:debug_)?assert(?:_eq|_ne|_any_discovery|_properties)?!?\(|\bassert_\w+!\(|\bprop_assert\w*!\(")
LONG_FUNCTION_LINES = 60


def crate_of(path):
    parts = path.split("/")
    return parts[1] if parts[0] == "crates" else "crankpick (root)"


def count_file(path, row):
    lines = open(path).read().split("\n")
    is_test = "/tests/" in "/" + path
    for index, line in enumerate(lines):
        row["tests"] += len(TEST.findall(line))
        row["assertions"] += len(ASSERTION.findall(line))
        if is_test:
            continue
        row["string errors"] += len(STRING_ERROR.findall(line))
        if PUBLIC_ITEM.match(line) and not has_doc(lines, index):
            row["undocumented"] += 1
        function = FUNCTION.match(line)
        if function and length_of(lines, index, function.group(1)) > LONG_FUNCTION_LINES:
            row["long functions"] += 1


def has_doc(lines, index):
    above = index - 1
    while above >= 0 and lines[above].strip().startswith(("#[", "#![")):
        above -= 1
    return above >= 0 and lines[above].strip().startswith(("///", "#[doc"))


def length_of(lines, start, indent):
    for end in range(start, len(lines)):
        if lines[end] == indent + "}":
            return end - start + 1
        if end == start and lines[end].rstrip().endswith((";", "}")):
            return 1
    return 0


def main():
    columns = ["string errors", "long functions", "undocumented", "tests", "assertions"]
    rows = collections.defaultdict(collections.Counter)
    listing = subprocess.check_output(["git", "ls-files", "*.rs"], text=True)
    for path in listing.split():
        count_file(path, rows[crate_of(path)])
    print("| crate | " + " | ".join(columns) + " |")
    print("| --- |" + " --- |" * len(columns))
    total = collections.Counter()
    for crate in sorted(rows):
        total.update(rows[crate])
        print(f"| {crate} | " + " | ".join(str(rows[crate][column]) for column in columns) + " |")
    print("| all | " + " | ".join(str(total[column]) for column in columns) + " |")


main()
