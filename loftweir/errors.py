"""The errors that an operator can meet: each says what happened, where, and what can be done about it.

This module imports nothing else of the project. An error type states its `remedy` once, as text in the class; one error
may set its own. docs/errors.md is made from the types (`table`), and a test compares the two.

A type belongs to the family if it can reach an operator: in the log, at the program's end, or as the answer of a
command. Exceptions that are caught before that stay outside. `TimedOut`, `TooLarge`, `OutOfBudget`, `ConnectError`,
`LocalError` and `UploadFailed` become an attempt's outcome, a status or a `CallFailed`; `BadRequest` and
`InvalidRequest` become the answer to the client's own request (docs/on-call.md has the statuses); `Unfit` becomes the
report of a damaged journal. `InvariantViolation` is a finding of the simulations, and `NoAddress` one of the stand-ins.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import ClassVar


class LoftweirError(Exception):
    """An error of the program's own: `what` happened, and `where` (a file, key, member or provider; may be empty)."""

    remedy: ClassVar[str] = ""  # what an operator can do; every type that is raised has one

    def __init__(self, what: str, where: str = "") -> None:
        super().__init__(f"{where}: {what}" if where else what)
        self.what, self.where = what, where


def types(of: type[LoftweirError] = LoftweirError) -> Iterator[type[LoftweirError]]:
    """Every imported subclass, each base class before its own subclasses."""
    for kind in sorted(of.__subclasses__(), key=lambda kind: kind.__name__):
        yield kind
        yield from types(kind)


def table() -> str:
    """The error types as the Markdown table of docs/errors.md."""
    lines = ["| error | what happened | what to do |", "| --- | --- | --- |"]
    for kind in types():
        meaning = " ".join((kind.__doc__ or "").split("\n\n")[0].split())
        lines.append(f"| `{kind.__name__}` | {meaning} | {kind.remedy} |")
    return "\n".join(lines) + "\n"


def import_all_modules() -> None:
    """Imports every module of the program, so that `types` gives all types. `run` never calls it.

    A module that needs a package of an extra that is not installed is left out.
    """
    from importlib import import_module
    from pkgutil import walk_packages

    import loftweir

    for module in walk_packages(loftweir.__path__, "loftweir."):
        try:
            if not module.name.endswith(".__main__"):
                import_module(module.name)
        except ModuleNotFoundError as error:
            if (error.name or "").partition(".")[0] == "loftweir":
                raise


if __name__ == "__main__":  # `python -m loftweir.errors` prints the table
    from loftweir import errors  # this file as `__main__` is a separate module, whose types nobody else uses

    errors.import_all_modules()
    print(errors.table(), end="")
