"""The platform's table, object store and VM list over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar
from urllib import parse

import expression
import msgspec

from almondshift import errors
from almondshift.adapters import platform_client
from almondshift.adapters import platform_messages
from almondshift.model import endpoints
from almondshift.ports import stores
from almondshift.ports import vm_lists

if TYPE_CHECKING:
    import builtins

Body = TypeVar("Body")


def _row_path(table: str, key: str) -> str:
    return f"/v1/tables/{_quote(table)}/rows/{_quote(key)}"


def _quote(text: str) -> str:
    return parse.quote(text, safe="")


def _decode(content: bytes, body_type: type[Body]) -> Body | None:
    try:
        return msgspec.json.decode(content, type=body_type)
    except msgspec.MsgspecError:
        return None


def _undecodable_error() -> errors.StoreUnavailable:
    return errors.StoreUnavailable(
        "The platform's response could not be decoded.",
        remedy="Check that the configured platform address is correct.",
    )


class PlatformTableStore(stores.TableStore):
    """The transactional table; never retries a write by itself."""

    def __init__(self, client: platform_client.PlatformClient) -> None:
        self.client = client

    @property
    def era(self) -> int:
        """The newest era in any response, errors included."""
        return self.client.era

    async def start(self) -> None:
        """Starts the HTTP client."""
        await self.client.start()

    async def close(self) -> None:
        """Waits for calls in flight, then closes connections."""
        await self.client.close()

    async def read(
        self, table: str, key: str
    ) -> expression.Result[stores.Row | None, stores.StoreError]:
        """Reads one row; None if it does not exist."""
        result = await self.client.read(_row_path(table, key))
        if result.is_error():
            return expression.Error(result.error)
        if result.ok.status == platform_client.NOT_FOUND:
            return expression.Ok(None)
        row = _decode(result.ok.body, platform_messages.RowBody)
        if row is None:
            return expression.Error(_undecodable_error())
        return expression.Ok(
            stores.Row(
                table, row.key, row.value, row.revision, self._era_of(result.ok)
            )
        )

    async def scan(
        self, table: str, prefix: str, limit: int
    ) -> expression.Result[list[stores.Row], stores.StoreError]:
        """Reads up to ``limit`` rows with a key prefix, in key order."""
        query = parse.urlencode({"prefix": prefix, "limit": limit})
        path = f"/v1/tables/{_quote(table)}/rows?{query}"
        result = await self.client.read(path)
        if result.is_error():
            return expression.Error(result.error)
        found = _decode(result.ok.body, platform_messages.RowsBody)
        if found is None:
            return expression.Error(_undecodable_error())
        era = self._era_of(result.ok)
        rows = [
            stores.Row(table, row.key, row.value, row.revision, era)
            for row in found.rows
        ]
        return expression.Ok(rows)

    async def transact(
        self, writes: list[stores.Write]
    ) -> expression.Result[list[int], stores.StoreError]:
        """Applies all writes or none; for errors see ``stores.TableStore``."""
        outdated = stores.outdated_condition(writes, self.era)
        if outdated is not None:
            return expression.Error(outdated)
        bodies = [
            platform_messages.WriteBody(
                write.table, write.key, write.value, write.if_revision
            )
            for write in writes
        ]
        content = msgspec.json.encode(platform_messages.TransactionBody(bodies))
        result = await self.client.write("POST", "/v1/transactions", content)
        if result.is_error():
            return expression.Error(result.error)
        done = _decode(result.ok.body, platform_messages.RevisionsBody)
        if done is None or len(done.revisions) != len(writes):
            return expression.Error(
                errors.StoreOutcomeUnknown(
                    "The platform's response to a write could not be decoded."
                )
            )
        return stores.confirmed_in_era(
            writes, done.revisions, self._era_of(result.ok)
        )

    def _era_of(self, answer: platform_client.PlatformAnswer) -> int:
        """Returns the era of a response; if it names none, the newest."""
        return answer.era or self.era


class PlatformObjectStore(stores.ObjectStore):
    """The object store."""

    def __init__(self, client: platform_client.PlatformClient) -> None:
        self.client = client

    async def start(self) -> None:
        """Starts the HTTP client."""
        await self.client.start()

    async def close(self) -> None:
        """Waits for calls in flight, then closes connections."""
        await self.client.close()

    async def get(
        self, key: str
    ) -> expression.Result[bytes | None, stores.StoreError]:
        """Reads an object; None if it does not exist."""
        result = await self.client.read(f"/v1/objects/{_quote(key)}")
        if result.is_error():
            return expression.Error(result.error)
        if result.ok.status == platform_client.NOT_FOUND:
            return expression.Ok(None)
        return expression.Ok(result.ok.body)

    async def put(
        self, key: str, content: bytes
    ) -> expression.Result[None, stores.StoreError]:
        """Writes a complete object."""
        path = f"/v1/objects/{_quote(key)}"
        result = await self.client.write("PUT", path, content)
        if result.is_error():
            return expression.Error(result.error)
        return expression.Ok(None)


class PlatformVmList(vm_lists.VmList):
    """The list of VMs."""

    def __init__(self, client: platform_client.PlatformClient) -> None:
        self.client = client

    async def start(self) -> None:
        """Starts the HTTP client."""
        await self.client.start()

    async def close(self) -> None:
        """Waits for calls in flight, then closes connections."""
        await self.client.close()

    async def list(
        self,
    ) -> expression.Result[
        builtins.list[endpoints.Vm], errors.StoreUnavailable
    ]:
        """Returns the endpoint VMs as the platform last saw them."""
        result = await self.client.read("/v1/vms")
        if result.is_error():
            return expression.Error(
                errors.StoreUnavailable(
                    result.error.detail,
                    retry_after_s=result.error.retry_after_s,
                )
            )
        found = _decode(result.ok.body, platform_messages.VmsBody)
        if found is None:
            return expression.Error(_undecodable_error())
        return expression.Ok([_vm(body) for body in found.vms])


def _vm(body: platform_messages.VmBody) -> endpoints.Vm:
    return endpoints.Vm(
        name=body.name,
        address=body.address,
        zone=body.zone,
        kind=body.kind,
        service=body.service,
        state=body.state,
    )


def create_table_store(address: str, timeout_s: float) -> PlatformTableStore:
    """Creates the table store of the platform at ``host:port``."""
    client = platform_client.create_platform_client(address, timeout_s)
    return PlatformTableStore(client)


def create_object_store(address: str, timeout_s: float) -> PlatformObjectStore:
    """Creates the object store of the platform at ``host:port``."""
    client = platform_client.create_platform_client(address, timeout_s)
    return PlatformObjectStore(client)


def create_vm_list(address: str, timeout_s: float) -> PlatformVmList:
    """Creates the VM list of the platform at ``host:port``."""
    client = platform_client.create_platform_client(address, timeout_s)
    return PlatformVmList(client)
