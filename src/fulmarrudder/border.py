"""Kinds of message that may cross a border, by name.

A message crosses as a document: its kind's name and its fields. Reading one
back validates every field, so that only well-formed data classes get inside.
"""

from typing import Any

import pydantic
from expression import Error, Ok, Result


class InvalidDocumentError(Exception):
    """A document is not a message of a known kind."""


class _DocumentModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")

    k: str
    d: dict


class Kinds:
    """A closed set of data classes that may cross one border.

    Attributes:
        adapters: Validators by name.
        names: Names by data class.
    """

    __slots__ = ("adapters", "names")

    def __init__(self, **kinds: type):
        self.adapters: dict[str, pydantic.TypeAdapter] = {}
        self.names: dict[type, str] = {}
        for name, kind in kinds.items():
            self.adapters[name] = pydantic.TypeAdapter(kind)
            self.names[kind] = name

    def dump(self, message: Any, *, json_types: bool = False) -> dict:
        """Turns a message into a document.

        Args:
            message: An instance of one of the data classes.
            json_types: Whether only JSON's types may appear.

        Returns:
            The document, `{"k": name, "d": fields}`.
        """
        name = self.names[type(message)]
        mode = "json" if json_types else "python"
        fields = self.adapters[name].dump_python(
            message, mode=mode, by_alias=True
        )
        return {"k": name, "d": fields}

    def load(self, document: Any) -> Result[Any, InvalidDocumentError]:
        """Validates a document.

        Args:
            document: What `dump` returned, after its journey.

        Returns:
            The message, or why the document is not one.
        """
        try:
            outer = _DocumentModel.model_validate(document)
            adapter = self.adapters.get(outer.k)
            if adapter is None:
                return Error(InvalidDocumentError(f"unknown kind {outer.k}"))
            return Ok(adapter.validate_python(outer.d))
        except pydantic.ValidationError as error:
            return Error(InvalidDocumentError(str(error)))
