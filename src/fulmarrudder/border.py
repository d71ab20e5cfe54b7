"""Encoding of data classes as documents at a border of the process.

A document holds the name of a message's kind and its fields. Loading validates
every field, so that code inside the border gets only well-formed data classes.
"""

from typing import Any

import pydantic
from expression import Error, Ok, Result


class InvalidDocumentError(Exception):
    """A document is not a valid message of a known kind."""


class _DocumentModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")

    k: str
    d: dict


class Kinds:
    """The closed set of data classes that may cross one border.

    Attributes:
        adapters: Validators by name of kind.
        names: Names of kinds by data class.
    """

    __slots__ = ("adapters", "names")

    def __init__(self, **kinds: type):
        self.adapters: dict[str, pydantic.TypeAdapter] = {}
        self.names: dict[type, str] = {}
        for name, kind in kinds.items():
            self.adapters[name] = pydantic.TypeAdapter(kind)
            self.names[kind] = name

    def dump(self, message: Any, *, json_types: bool = False) -> dict:
        """Encodes a message as a document.

        Args:
            message: An instance of one of the data classes.
            json_types: Whether to use JSON types only.

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
        """Validates and decodes a document.

        Args:
            document: A document as encoded by `dump`.

        Returns:
            The message, or the error of the validation.
        """
        try:
            outer = _DocumentModel.model_validate(document)
            adapter = self.adapters.get(outer.k)
            if adapter is None:
                return Error(InvalidDocumentError(f"unknown kind {outer.k}"))
            return Ok(adapter.validate_python(outer.d))
        except pydantic.ValidationError as error:
            return Error(InvalidDocumentError(str(error)))
