"""Runs the main measurements, one script after another.

    python bench/measures.py

`converge.py` measures convergence time and control bytes with real nodes,
`moves.py` the outcomes of seeded moves to good and bad versions, each with its
baseline (`polling.py` for the former). `calls.py` measures added latency.
"""

import pathlib
import subprocess
import sys

SCRIPTS = ("converge.py", "polling.py", "moves.py", "calls.py")


def run_scripts(scripts: tuple[str, ...]) -> int:
    """Runs scripts; returns the first exit status other than 0, or 0."""
    folder = pathlib.Path(__file__).parent
    for script in scripts:
        print(f"== {script}", flush=True)
        done = subprocess.run([sys.executable, str(folder / script)])
        if done.returncode:
            return done.returncode
    return 0


if __name__ == "__main__":
    sys.exit(run_scripts(SCRIPTS))
