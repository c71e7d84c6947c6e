"""Registries of named plug-ins, filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Named items of one type; plug-in modules register theirs on import.

    Attributes:
        subject: What the items are, for error messages.
        items: The items by name.
    """

    def __init__(self, subject: str):
        self.subject = subject
        self.items: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that registers its argument under `name`.

        Raises:
            ValueError: On use, if the name is registered already.
        """

        def add(item: T) -> T:
            if name in self.items:
                raise ValueError(
                    f"{self.subject} {name!r} is registered twice; rename one"
                )
            self.items[name] = item
            return item

        return add

    def get(self, name: str) -> T:
        """Returns the item called `name`.

        Raises:
            KeyError: No such item; the message lists the known names.
        """
        try:
            return self.items[name]
        except KeyError:
            known = ", ".join(sorted(self.items))
            raise KeyError(
                f"unknown {self.subject} {name!r}; use one of: {known}"
            ) from None

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self.items))
