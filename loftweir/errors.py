"""The family of the errors that an operator may meet: each says what happened, where, and what can be done about it.

Beneath all else: it imports nothing of the project. A type states its `remedy` once, as text in the class; one error
may say more with an own. docs/errors.md is made from the types (`table`), and a test holds the two together.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import ClassVar


class Trouble(Exception):
    """An error of the program's own. `what` happened, and `where`: a file, key, member or provider; empty: here."""

    remedy: ClassVar[str] = ""  # what an operator can do; every type that is raised has one

    def __init__(self, what: str, where: str = "") -> None:
        super().__init__(f"{where}: {what}" if where else what)
        self.what, self.where = what, where


def types(of: type[Trouble] = Trouble) -> Iterator[type[Trouble]]:
    """Every type of the family that has been imported, the more general before its own kinds."""
    for kind in sorted(of.__subclasses__(), key=lambda kind: kind.__name__):
        yield kind
        yield from types(kind)


def table() -> str:
    """The family as the Markdown table of the errors' page."""
    lines = ["| error | what happened | what to do |", "| --- | --- | --- |"]
    for kind in types():
        meaning = " ".join((kind.__doc__ or "").split("\n\n")[0].split())
        lines.append(f"| `{kind.__name__}` | {meaning} | {kind.remedy} |")
    return "\n".join(lines) + "\n"
