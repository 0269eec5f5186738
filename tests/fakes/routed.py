"""Requests as the relay routes them."""

from __future__ import annotations

import types
from typing import Any

from almondshift.model import relayed


def routed(
    name: str, body: bytes = b"", prompt_parts: tuple[str, ...] = ()
) -> Any:
    """Returns a routed request with the attributes that crashes depend on."""
    request = relayed.RelayedRequest(
        request_id=name,
        method="POST",
        host="h",
        target="/",
        path="/",
        headers=(),
        body=body,
        wait_s=None,
        key="",
        last_event_id="",
        prompt_tokens=0,
        output_tokens=0,
        expected_tokens=0,
        prompt_parts=prompt_parts,
    )
    return types.SimpleNamespace(account="a", request=request, service="s")
