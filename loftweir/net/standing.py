"""Coroutines that run for as long as the process, or their owner, does: one that breaks is started again."""

from __future__ import annotations

from collections.abc import Callable

from loftweir.net.loop import MS, Coroutine, Loop, Task

RESTART_DELAY = 100 * MS  # from an error of a standing coroutine until it is started again


class StandingTask:
    """A coroutine that never ends by itself. The loop logs its error, and it is begun again after `RESTART_DELAY`."""

    def __init__(
        self, loop: Loop, begin: Callable[[], Coroutine[None]], new_work: bool = False, urgent: bool = False
    ) -> None:
        """`begin` makes the coroutine, and is called again for each restart. The rest is as for `Loop.spawn`."""
        self.loop = loop
        self._begin = begin
        self._new_work = new_work
        self._urgent = urgent
        self._cancelled = False
        self._task = self._spawn()

    @property
    def over(self) -> bool:
        """Whether it does not run: it was cancelled, or waits to be started again."""
        return self._task.over

    def wake(self) -> None:
        """End its wait with `WOKEN`; does nothing if it does not wait."""
        self._task.wake()

    def cancel(self) -> None:
        """End it where it waits, for good."""
        self._cancelled = True
        self._task.cancel()

    def _spawn(self) -> Task:
        return self.loop.spawn(self._begin(), self._broken, self._new_work, self._urgent)

    def _broken(self, _: Exception) -> None:
        self.loop.after(RESTART_DELAY, self._restart)

    def _restart(self) -> None:
        if not self._cancelled:
            self._task = self._spawn()
