"""``/v1/services/NAME/...``: calls to plain services."""

from __future__ import annotations

import expression

from almondshift import errors
from almondshift.adapters.http_front import base
from almondshift.model import fleet
from almondshift.ports import gateway


class PlainHandler(base.BodyHandler):
    """Forwards calls to plain services."""

    async def get(self, name: str, path: str) -> None:
        """Forwards a GET."""
        await self._forward(name, path)

    async def post(self, name: str, path: str) -> None:
        """Forwards a POST."""
        await self._forward(name, path)

    async def put(self, name: str, path: str) -> None:
        """Forwards a PUT."""
        await self._forward(name, path)

    async def delete(self, name: str, path: str) -> None:
        """Forwards a DELETE."""
        await self._forward(name, path)

    async def _forward(self, name: str, path: str) -> None:
        request = self._request(name, path)
        admission = gateway.Admission(
            request.request_id, request.service, 0, request.deadline
        )
        await self.run_admitted(admission, lambda: self._call(request))

    async def _call(self, request: gateway.PlainRequest) -> None:
        match await self.node.call_plain(request):
            case expression.Result(tag="ok", ok=response):
                self.set_status(response.status)
                self.set_header("Content-Type", response.content_type)
                if self.record is not None:
                    self.record.answered()
                await self.finish(response.body)
            case expression.Result(error=error):
                raise error

    def _request(self, name: str, path: str) -> gateway.PlainRequest:
        account = self.account()
        self.begin_record(account.name, name)
        service = self._service(name, account)
        query = f"?{self.request.query}" if self.request.query else ""
        return gateway.PlainRequest(
            request_id=self.request_id,
            account=account.name,
            service=service.name,
            method=self.request.method or "GET",
            path=f"/{path}{query}",
            content_type=self.request.headers.get(
                "Content-Type", "application/octet-stream"
            ),
            body=self.body(),
            deadline=self.deadline(),
            idempotency_key=self._key_for(service),
        )

    def _service(self, name: str, account: fleet.Account) -> fleet.Service:
        found = self.known_fleet().services.get(name)
        allowed = not account.services or name in account.services
        if found is None or not allowed:
            raise errors.UnknownService(f"There is no service {name!r}.")
        if found.kind is not fleet.ServiceKind.PLAIN:
            raise errors.UnknownService(
                f"Service {name!r} is not a plain service.",
                remedy="Call it with POST /v1/completions.",
            )
        return found

    def _key_for(self, service: fleet.Service) -> str:
        key = self.idempotency_key()
        if not service.may_repeat(self.request.method or "") and not key:
            raise errors.IdempotencyKeyRequired(
                f"Service {service.name!r} is not idempotent."
            )
        return key
