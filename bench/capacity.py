"""Measures every slope of docs/CAPACITY.md, one script after another.

    python bench/capacity.py

`functions.py` measures functions, `roles.py` whole nodes in this process,
`processes.py` nodes as processes on loopback.
"""

import sys

from measures import run_scripts

SCRIPTS = ("functions.py", "roles.py", "processes.py", "hop.py", "path.py")


if __name__ == "__main__":
    sys.exit(run_scripts(SCRIPTS))
