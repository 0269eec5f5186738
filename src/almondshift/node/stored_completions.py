"""Stores completions of non-idempotent services and replays them.

Such a completion runs to its end and is stored before any token is sent.
"""

from __future__ import annotations

import contextlib
import json
from typing import TYPE_CHECKING

import expression

from almondshift import errors
from almondshift.coordination import claim_rows
from almondshift.model import completions
from almondshift.ports import gateway

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from almondshift.model import chains

OK = 200
CONTENT_TYPE = "application/json"


class StoredStream(gateway.CompletionStream):
    """Streams the tokens of a stored completion."""

    def __init__(self, request_id: str, tokens: list[int]) -> None:
        self.request_id = request_id
        self.kept = tokens

    async def tokens(self) -> AsyncGenerator[int]:
        """Yields the stored tokens."""
        for token in self.kept:
            yield token

    def close(self) -> None:
        """Does nothing: there is no work to cancel."""

    def execution(self) -> errors.Execution:
        """Returns ``RAN``."""
        return errors.Execution.RAN

    def chain(self) -> chains.Chain | None:
        """Returns None: the chain is not stored."""
        return None

    def summary(self) -> completions.CompletionSummary:
        """Returns the number of tokens, without timings."""
        return completions.CompletionSummary(
            self.request_id, len(self.kept), (), ()
        )


def fingerprint_body(request: completions.CompletionRequest) -> bytes:
    """Returns the content that a retry must match, without stream options."""
    parts = [request.service, list(request.prompt), request.max_tokens]
    return json.dumps(parts).encode()


async def collect(
    started: expression.Result[
        gateway.CompletionStream, errors.AlmondshiftError
    ],
) -> expression.Result[claim_rows.StoredResult, errors.AlmondshiftError]:
    """Runs a started completion to its end and returns it for storage."""
    match started:
        case expression.Result(tag="ok", ok=stream):
            pass
        case expression.Result(error=error):
            return expression.Error(error)
    try:
        async with contextlib.aclosing(stream.tokens()) as source:
            tokens = [token async for token in source]
    except errors.AlmondshiftError as error:
        return expression.Error(error)
    body = json.dumps({"tokens": tokens}).encode()
    return expression.Ok(claim_rows.StoredResult(OK, CONTENT_TYPE, body))


def to_stream(
    request_id: str, kept: claim_rows.StoredResult
) -> expression.Result[gateway.CompletionStream, errors.AlmondshiftError]:
    """Returns a stored completion as a stream, or the stored failure."""
    content = json.loads(kept.body)
    if kept.status == OK:
        return expression.Ok(StoredStream(request_id, content["tokens"]))
    return expression.Error(
        errors.OutcomeUnknown(
            f"An earlier request with this key failed: {content['detail']}",
            execution=errors.Execution(content["execution"]),
        )
    )
