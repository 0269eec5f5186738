"""Tornado's curl client with a fix for closing it."""

from __future__ import annotations

from tornado import curl_httpclient

MAX_RESPONSE_BYTES = 100 * 1024 * 1024


class ClosableCurlClient(curl_httpclient.CurlAsyncHTTPClient):
    """A client that may be closed while transfers are open.

    Closing the transfers makes libcurl request one more timer after tornado
    removed the last one; it would fire on a closed client and log a traceback.
    """

    def _handle_timeout(self) -> None:
        if self._multi is not None:
            super()._handle_timeout()


def create_curl_client(
    max_clients: int, max_body_size: int = MAX_RESPONSE_BYTES
) -> ClosableCurlClient:
    """Builds a separate client, not tornado's shared instance.

    Args:
        max_clients: Concurrent calls; more wait in tornado's own queue.
        max_body_size: Largest response body in bytes.
    """
    return ClosableCurlClient(
        force_instance=True,
        max_clients=max_clients,
        max_body_size=max_body_size,
    )
