#!/usr/bin/env python3
"""Checks that no module of src includes a module above it.

.ci/layers.txt lists the modules from low to high. A module is a path below src without its
ending; a header X_private.h belongs to the module X. A module may include its own headers and
those of modules listed before it. Lines that begin with "allow:" name the includes that still break
the order; one that is no longer needed fails, and so does a listed module that does not exist.
"""
import re
import subprocess
import sys


def read_layers(path):
    position, allowed = {}, set()
    with open(path, encoding="utf-8") as stream:
        for line in stream:
            words = line.split("#")[0].split()
            if words and words[0] == "allow:":
                allowed.add((words[1], words[3]))
                continue
            for module in words:
                position[module] = len(position)
    return position, allowed


def module_of(path):
    """The module of a path below src, given without its ending."""
    return re.sub("_private$", "", path)


def includes(path):
    with open(path, encoding="utf-8") as stream:
        for number, line in enumerate(stream, 1):
            match = re.match(r'#include "(.+)\.h"', line)
            if match:
                yield number, module_of(match.group(1))


def main():
    position, allowed = read_layers(".ci/layers.txt")
    listed = subprocess.run(["git", "ls-files", "src/*.[ch]"], capture_output=True, text=True, check=True)
    errors, used, found = [], set(), set()
    for path in listed.stdout.split():
        module = module_of(re.sub(r"^src/|\.[ch]$", "", path))
        found.add(module)
        if module not in position:
            errors.append(f"{path}: the module {module} is not in .ci/layers.txt")
            continue
        for number, target in includes(path):
            if target == module or position.get(target, len(position)) < position[module]:
                continue
            if (module, target) in allowed:
                used.add((module, target))
            else:
                errors.append(f"{path}:{number}: {module} must not include {target}, which is above it")
    errors += [f".ci/layers.txt: {a} -> {b} is allowed but not needed" for a, b in sorted(allowed - used)]
    errors += [f".ci/layers.txt: there is no module {module}" for module in position if module not in found]
    print("\n".join(errors) if errors else f"{len(position)} modules in order, {len(allowed)} allowed exceptions")
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())
