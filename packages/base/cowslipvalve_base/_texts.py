"""Enumerations with string values."""

import enum


class TextEnum(str, enum.Enum):  # noqa: UP042
    """Base class of enumerations whose str() is their value."""

    def __str__(self) -> str:
        return str(self.value)
