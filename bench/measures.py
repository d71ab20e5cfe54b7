"""The four measures of the brief, one after another.

    python bench/measures.py

Convergence time and control bytes come from real nodes (`converge.py`), the
shares of good and bad versions from seeded moves (`moves.py`), each beside its
baseline.
"""

import pathlib
import subprocess
import sys

SCRIPTS = ("converge.py", "polling.py", "moves.py", "calls.py")


def run_scripts(scripts: tuple[str, ...]) -> int:
    """Runs benches; returns the first status that is not 0."""
    folder = pathlib.Path(__file__).parent
    for script in scripts:
        print(f"== {script}", flush=True)
        done = subprocess.run([sys.executable, str(folder / script)])
        if done.returncode:
            return done.returncode
    return 0


if __name__ == "__main__":
    sys.exit(run_scripts(SCRIPTS))
