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

    A validator is built when it is first used, since a process starts sooner
    without those that it does not use.

    Attributes:
        kinds: Data classes by name of kind.
        names: Names of kinds by data class.
        adapters: The validators built so far, by name of kind.
    """

    __slots__ = ("adapters", "kinds", "names")

    def __init__(self, **kinds: type):
        self.kinds = kinds
        self.names = {kind: name for name, kind in kinds.items()}
        self.adapters: dict[str, pydantic.TypeAdapter] = {}

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
        fields = self._adapter_of(name).dump_python(
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
            if outer.k not in self.kinds:
                return Error(InvalidDocumentError(f"unknown kind {outer.k}"))
            return Ok(self._adapter_of(outer.k).validate_python(outer.d))
        except pydantic.ValidationError as error:
            return Error(InvalidDocumentError(str(error)))

    def _adapter_of(self, name: str) -> pydantic.TypeAdapter:
        adapter = self.adapters.get(name)
        if adapter is None:
            adapter = pydantic.TypeAdapter(self.kinds[name])
            self.adapters[name] = adapter
        return adapter
