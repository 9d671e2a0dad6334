"""The family of the errors that an operator may meet: each says what happened, where, and what can be done about it.

Beneath all else: with it nothing of the project is imported. A type states its `remedy` once, as text in the class; one
error may say more with an own. docs/errors.md is made from the types (`table`), and a test holds the two together.

In the family is what can come to an operator as it is: in the log, at the program's end, as the answer of a call or of
a command. What is caught before that, and there becomes something else, stays out. `TimedOut`, `TooLarge`,
`OutOfBudget`, `ConnectError`, `LocalError` and `UploadFailed` become an invoker call's outcome, a status or a
`CallFailed`; `BadRequest` and `InvalidRequest` become the answer to the application's own request (docs/on-call.md has
the statuses). `Breach` is a finding of the virtual runs.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import ClassVar


class LoftweirError(Exception):
    """An error of the program's own. `what` happened, and `where`: a file, key, member or provider; empty: here."""

    remedy: ClassVar[str] = ""  # what an operator can do; every type that is raised has one

    def __init__(self, what: str, where: str = "") -> None:
        super().__init__(f"{where}: {what}" if where else what)
        self.what, self.where = what, where


def types(of: type[LoftweirError] = LoftweirError) -> Iterator[type[LoftweirError]]:
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


def everything() -> None:
    """Imports every module of the program, so that `types` gives the whole family. Never called by `run`. A module that
    needs a package of an extra which is not installed is left out."""
    from importlib import import_module
    from pkgutil import walk_packages

    import loftweir

    for found in walk_packages(loftweir.__path__, "loftweir."):
        try:
            if not found.name.endswith(".__main__"):
                import_module(found.name)
        except ModuleNotFoundError as error:
            if (error.name or "").partition(".")[0] == "loftweir":
                raise


if __name__ == "__main__":  # `python -m loftweir.errors` prints the table
    from loftweir import errors  # this file as `__main__` is another module, with a family of its own

    errors.everything()
    print(errors.table(), end="")
