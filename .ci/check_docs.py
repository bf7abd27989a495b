#!/usr/bin/env python3
"""Checks that what the documentation names exists in the code.

Functions and types: each `ft_name()` or `FtName` in the pages below is defined in src.
Log lines: each line quoted in the first column of a table headed "log line" in
docs/operations.md stands in a string of src; "..." matches what a format inserts.
The same holds for the tables headed "reason" and "metric". Each counter and latency of
src/net/metrics.c stands in a table headed "metric", and each warning of src in one headed
"log line".
"""
import re
import subprocess
import sys

PAGES = ["README.md", "docs/architecture.md", "docs/design.md", "docs/operations.md", "docs/fault-interactions.md"]

TABLES = ["log line", "reason", "metric"]


def source_files():
    out = subprocess.run(["git", "ls-files", "src/*.[ch]"], capture_output=True, text=True, check=True)
    return out.stdout.split()


def read(path):
    with open(path, encoding="utf-8") as stream:
        return stream.read()


def unknown_names(page, text, code):
    for match in re.finditer(r"`(ft_\w+) ?\(\)|`(Ft[A-Z]\w+)`", text):
        name = match.group(1) or match.group(2)
        if not re.search(rf"\b{name}\b", code):
            yield f"{page}: {name} is not in src"


def string_texts(code):
    """The texts of all strings, with adjacent ones joined and formats as "..."."""
    formats = re.sub(r'"\s*G_\w+_FORMAT\s*"', "u", code)
    joined = re.sub(r'"\s*"', "", formats)
    for match in re.finditer(r'"((?:\\.|[^"\\\n])*)"', joined):
        yield re.sub(r"%[-.0-9]*l?[a-z]?", "...", match.group(1))


def quoted_lines(text, heads):
    in_table = False
    for line in text.split("\n"):
        if any(line.startswith(f"| {head} |") for head in heads):
            in_table = True
        elif not line.startswith("|"):
            in_table = False
        elif in_table and not line.startswith("| ---"):
            yield from re.findall(r"`([^`]+)`", line.split("|")[1])


def pattern_of(line):
    return re.compile(".*".join(re.escape(part) for part in line.split("...")))


def unknown_lines(page, text, code):
    texts = list(string_texts(code))
    for line in quoted_lines(text, TABLES):
        if not any(pattern_of(line).search(candidate) for candidate in texts):
            yield f"{page}: no string of src is like the line: {line}"


def undocumented_warnings(page, text, code):
    patterns = [pattern_of(line) for line in quoted_lines(text, ["log line"])]
    for match in re.finditer(r"\bg_(?:warning|critical) \((.*?)\);", code, re.DOTALL):
        warning = next(string_texts(match.group(1)), match.group(1))
        if not any(pattern.search(warning) for pattern in patterns):
            yield f"{page}: the warning is not explained: {warning}"


def undocumented_metrics(page, text, metrics_code):
    documented = set(quoted_lines(text, ["metric"]))
    for array in re.finditer(r"_names\[\w+\]\s*=\s*\{(.*?)\}", metrics_code, re.DOTALL):
        for name in re.findall(r'"(\w+)"', array.group(1)):
            if name not in documented:
                yield f"{page}: the metric {name} is not explained"


def main():
    code = "\n".join(read(path) for path in source_files())
    errors, names = [], 0
    for page in PAGES:
        text = read(page)
        names += len(re.findall(r"`ft_\w+ ?\(\)`|`Ft[A-Z]\w+`", text))
        errors += unknown_names(page, text, code)
    operations = read("docs/operations.md")
    counts = {head: len(list(quoted_lines(operations, [head]))) for head in TABLES}
    errors += unknown_lines("docs/operations.md", operations, code)
    errors += undocumented_warnings("docs/operations.md", operations, code)
    errors += undocumented_metrics("docs/operations.md", operations, read("src/net/metrics.c"))
    if names == 0 or 0 in counts.values():
        errors.append(f"nothing to check: {names} names, {counts}")
    found = ", ".join(f"{count} {head}s" for head, count in counts.items())
    print("\n".join(errors) if errors else f"{names} names, {found} of the pages are in src")
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())
