"""Client of the platform's object store over HTTP."""

from collections import Counter
from typing import Any, ClassVar

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from ebonyladder.kernel.error import ErrorCode, Outcome, StoreError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.kernel.step import Step
from ebonyladder.store import ListedVm, PlatformStore, StoredObject

STORE_PEER = "store"


class _ListedObject(msgspec.Struct, frozen=True, kw_only=True):
    key: str
    version: int
    value: str


@register
class HttpPlatformStore(Plugin, PlatformStore):
    """Platform store over HTTP; counts its calls by kind."""

    name: ClassVar[str] = "platform-store"
    provides: ClassVar[tuple[type, ...]] = (PlatformStore,)

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.calls: dict[str, int] = Counter()
        self.base_url = f"http://{kernel.settings.store}"
        self.timeout_s = kernel.settings.store_timeout_ms / 1000
        self.session: ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP session; connections are opened on demand."""
        # Each waiting watch occupies a connection. With a limit on connections, the
        # watches of leases would delay all other calls past their timeout.
        self.session = ClientSession(connector=TCPConnector(limit=0))

    async def stop(self) -> None:
        """Close the HTTP session."""
        if self.session is not None:
            await self.session.close()

    async def _call(
        self,
        step: Step,
        method: str,
        path: str,
        *,
        timeout_s: float | None = None,
        **options: Any,
    ) -> tuple[int, int, bytes]:
        """Return status, object version and body of one call."""
        self.calls[step.value] += 1
        try:
            async with self.session.request(
                method,
                self.base_url + path,
                timeout=ClientTimeout(total=timeout_s or self.timeout_s),
                **options,
            ) as response:
                body = await response.read()
                version = int(response.headers.get("X-Version", "0"))
        except (ClientError, TimeoutError, OSError) as error:
            raise self._unavailable(step, f"store did not answer: {error!r}") from error
        if response.status == 409:
            raise StoreError(code=ErrorCode.STORE_CONFLICT, step=step, peer=STORE_PEER)
        if response.status >= 500:
            raise self._unavailable(step, f"store answered {response.status}")
        return response.status, version, body

    @staticmethod
    def _unavailable(step: Step, message: str) -> StoreError:
        is_write = step is Step.STORE_WRITE
        return StoreError(
            code=ErrorCode.STORE_UNAVAILABLE,
            step=step,
            peer=STORE_PEER,
            message=message,
            outcome=Outcome.UNKNOWN if is_write else Outcome.NOT_RUN,
        )

    async def get(self, key: str) -> StoredObject | None:
        """Return the object, None if there is none."""
        status, version, body = await self._call(
            Step.STORE_READ, "GET", f"/objects/{key}"
        )
        if status == 404:
            return None
        return StoredObject(key=key, value=body, version=version)

    async def put(self, key: str, value: bytes, *, expected_version: int) -> int:
        """Write an object that has the expected version; return the new version."""
        status, version, body = await self._call(
            Step.STORE_WRITE,
            "PUT",
            f"/objects/{key}",
            data=value,
            headers={"X-Expected-Version": str(expected_version)},
        )
        if status >= 400:
            raise StoreError(
                code=ErrorCode.BAD_REQUEST,
                step=Step.STORE_WRITE,
                peer=STORE_PEER,
                message=f"store refused the value: {body.decode(errors='replace')}",
            )
        return version

    async def delete(self, key: str, *, expected_version: int) -> None:
        """Delete an object that has the expected version."""
        await self._call(
            Step.STORE_WRITE,
            "DELETE",
            f"/objects/{key}",
            headers={"X-Expected-Version": str(expected_version)},
        )

    async def vms(self) -> list[ListedVm]:
        """Return the platform's list of VMs, which may be out of date."""
        _, _, body = await self._call(Step.STORE_READ, "GET", "/vms")
        return msgspec.json.decode(body, type=list[ListedVm])

    async def watch(
        self, key: str, *, after_version: int, wait_s: float
    ) -> StoredObject | None:
        """Wait up to ``wait_s`` seconds for a later version; None if there was none."""
        status, version, body = await self._call(
            Step.STORE_WATCH,
            "GET",
            f"/watch/{key}",
            params={"after": str(after_version), "wait_s": str(wait_s)},
            timeout_s=wait_s + self.timeout_s,
        )
        if status != 200:
            return None
        return StoredObject(key=key, value=body, version=version)

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return the objects whose keys begin with ``prefix``, by key."""
        _, _, body = await self._call(
            Step.STORE_READ, "GET", "/list", params={"prefix": prefix}
        )
        return [
            StoredObject(
                key=listed.key,
                version=listed.version,
                value=listed.value.encode("latin-1"),
            )
            for listed in msgspec.json.decode(body, type=list[_ListedObject])
        ]
