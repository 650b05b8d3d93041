"""Decoding of documents that another version of gypsumwind may have written."""

from collections.abc import Mapping
from typing import Any, TypeVar

Data = TypeVar("Data")


def from_fields(kind: type[Data], doc: Mapping[str, Any]) -> Data:
    """Return a slotted data class from a document; fields of a later version are ignored.

    TypeError if a field without a default is missing, or if the document is no object.
    """
    names = kind.__slots__  # type: ignore[attr-defined]
    return kind(**{name: doc[name] for name in names if name in doc})
