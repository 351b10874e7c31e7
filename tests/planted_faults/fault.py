"""Planted faults: product functions with a safety condition removed for the duration of a context."""

import dataclasses
import inspect
import textwrap
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from typing import Any


class SourceTextNotFound(Exception):
    """The source text that a rewrite replaces is not in the product exactly once; update the table of faults."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rewrite:
    """Replaces `old` by `new` in the source of a method or module function of the product.

    `owner` is the class or module. Invariant: `old` occurs exactly once in that source.
    """

    owner: Any
    method: str
    old: str
    new: str

    def rewritten(self) -> Any:
        """The function compiled from the changed source. Raises SourceTextNotFound."""
        function = getattr(self.owner, self.method)
        source = textwrap.dedent(inspect.getsource(function))
        if source.count(self.old) != 1:
            raise SourceTextNotFound(
                f"{self.owner.__name__}.{self.method}: {self.old!r} occurs {source.count(self.old)}x, not once"
            )
        namespace: dict[str, Any] = {}
        exec(compile(source.replace(self.old, self.new), self.method, "exec"), function.__globals__, namespace)
        return namespace[self.method]

    @contextmanager
    def planted(self) -> Iterator[None]:
        """Replaces the function for the duration of the context."""
        function = getattr(self.owner, self.method)
        setattr(self.owner, self.method, self.rewritten())
        try:
            yield
        finally:
            setattr(self.owner, self.method, function)


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlantedFault:
    """A safety condition and the rewrites that remove it.

    Invariants: `directed` names the scenario that catches the fault, or is empty; `harmless` says why no test needs
    to catch it, or is empty.
    """

    name: str
    condition: str
    rewrites: tuple[Rewrite, ...]
    directed: str = ""
    harmless: str = ""

    @contextmanager
    def planted(self) -> Iterator[None]:
        """Applies all rewrites for the duration of the context."""
        with ExitStack() as stack:
            for rewrite in self.rewrites:
                stack.enter_context(rewrite.planted())
            yield
