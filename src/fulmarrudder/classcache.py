"""Code of the methods that `dataclasses` generates, compiled at build.

`dataclasses` compiles the text of each method of each class at every start, which is
a sixth of a daemon's imports. The build writes the compiled methods to a file; a start
that finds the file looks its methods up there, and compiles those that it lacks.

    python -m fulmarrudder.classcache MODULE
"""

import builtins
import dataclasses
import importlib
import importlib.util
import marshal
import pathlib
import sys
import types

# The magic number changes with each format of byte code.
PATH = pathlib.Path(__file__).with_name(
    f"classcache.{int.from_bytes(importlib.util.MAGIC_NUMBER[:2], 'little')}"
)


class Cache:
    """Compiled methods by their text.

    Attributes:
        codes: The compiled methods.
        compiled: Number of methods that were not among them.
    """

    def __init__(self, codes: dict[str, types.CodeType]):
        self.codes = codes
        self.compiled = 0

    def execute(self, text: str, *namespaces: dict) -> None:
        """Executes the text of a method, as `exec` does."""
        code = self.codes.get(text)
        if code is None:
            self.compiled += 1
            code = compile(text, "<string>", "exec")
            self.codes[text] = code
        builtins.exec(code, *namespaces)

    def install(self) -> None:
        """Lets `dataclasses` execute methods by this cache."""
        dataclasses.exec = self.execute


def load(path: pathlib.Path = PATH) -> Cache:
    """Returns the methods that the build has compiled, if any."""
    try:
        codes = marshal.loads(path.read_bytes())
    except (OSError, ValueError, EOFError, TypeError):
        # Nothing is lost but the time to compile them.
        codes = {}
    return Cache(codes)


def main() -> None:
    """Imports a module, and writes the methods that it compiles."""
    cache = Cache({})
    cache.install()
    importlib.import_module(sys.argv[1])
    PATH.write_bytes(marshal.dumps(cache.codes))


if __name__ == "__main__":
    main()
