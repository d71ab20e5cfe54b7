"""Starts the daemon: `python -m fulmarrudder.platform`."""

import gc

from fulmarrudder import classcache


def start() -> None:
    """Imports and runs the daemon."""
    # What an import creates stays, so that collections would find nothing. The
    # daemon turns them on again.
    gc.disable()
    classcache.load().install()
    from fulmarrudder.platform.daemon import main

    main()


if __name__ == "__main__":
    start()
