"""Callbacks that end their run with an answer if they raise."""

from __future__ import annotations

import abc
import functools
from typing import TYPE_CHECKING
from typing import Concatenate
from typing import ParamSpec
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable


class GuardedRun(abc.ABC):
    """Something that can end after an unforeseen exception."""

    @abc.abstractmethod
    def end_after_exception(self, error: Exception) -> None:
        """Ends with an answer, and logs the exception."""


RunT = TypeVar("RunT", bound=GuardedRun)
Arguments = ParamSpec("Arguments")


def ends_run_on_exception(
    method: Callable[Concatenate[RunT, Arguments], None],
) -> Callable[Concatenate[RunT, Arguments], None]:
    """Makes a callback of a run end the run if it raises.

    The event loop, the server or the HTTP client would otherwise close the
    connection or log the exception, and the caller would wait in vain.
    """

    @functools.wraps(method)
    def call(
        run: RunT, /, *args: Arguments.args, **kwargs: Arguments.kwargs
    ) -> None:
        try:
            method(run, *args, **kwargs)
        except Exception as error:
            run.end_after_exception(error)

    return call
