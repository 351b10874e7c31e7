"""A planted fault: a product function with one of its conditions taken out, for as long as a context lasts."""

import dataclasses
import inspect
import textwrap
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from typing import Any


class NoSuchText(Exception):
    """The product no longer has the text that a rewrite is to replace: the table must follow it."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rewrite:
    """One method of a product class, or function of a module, with a piece of its source replaced. Invariant: the
    piece stands there once."""

    owner: Any
    method: str
    old: str
    new: str

    def rewritten(self) -> Any:
        function = getattr(self.owner, self.method)
        source = textwrap.dedent(inspect.getsource(function))
        if source.count(self.old) != 1:
            raise NoSuchText(
                f"{self.owner.__name__}.{self.method}: {self.old!r} stands there {source.count(self.old)}x"
            )
        found: dict[str, Any] = {}
        exec(compile(source.replace(self.old, self.new), self.method, "exec"), function.__globals__, found)
        return found[self.method]

    @contextmanager
    def planted(self) -> Iterator[None]:
        function = getattr(self.owner, self.method)
        setattr(self.owner, self.method, self.rewritten())
        try:
            yield
        finally:
            setattr(self.owner, self.method, function)


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlantedFault:
    """A condition, and how to take it out. Invariants: `directed` names the scenario that should catch it, if there is
    one; `harmless` says why nothing need catch it, if so."""

    name: str
    condition: str
    rewrites: tuple[Rewrite, ...]
    directed: str = ""
    harmless: str = ""

    @contextmanager
    def planted(self) -> Iterator[None]:
        with ExitStack() as stack:
            for rewrite in self.rewrites:
                stack.enter_context(rewrite.planted())
            yield
