"""Interface to the platform's object store."""

from __future__ import annotations

from abc import ABC, abstractmethod

import msgspec

from ebonyladder.types import Address, VmId, VmState, ZoneId

MAX_VALUE_BYTES = 1_000_000


class StoredObject(msgspec.Struct, frozen=True, kw_only=True):
    """Object of the store with its version.

    Attributes
    ----------
    key : str
        Key of the object, parts separated by ``/``.
    value : bytes
        Content, at most ``MAX_VALUE_BYTES``.
    version : int
        Increases with each change of the object; never reused.
    """

    key: str
    value: bytes
    version: int


class ListedVm(msgspec.Struct, frozen=True, kw_only=True):
    """Entry of the platform's list of VMs, which may be out of date."""

    vm: VmId
    zone: ZoneId
    peer_address: Address
    state: VmState


class PlatformStore(ABC):
    """Object store of the platform; every call is counted.

    All methods raise ``StoreError``: STORE_UNAVAILABLE if no answer arrived
    (a write may have taken effect), STORE_CONFLICT if the version differs.

    Attributes
    ----------
    calls : dict of str to int
        Number of calls by kind since the start.
    """

    calls: dict[str, int]

    @abstractmethod
    async def get(self, key: str) -> StoredObject | None:
        """Return the object, None if there is none."""

    @abstractmethod
    async def put(self, key: str, value: bytes, *, expected_version: int) -> int:
        """Write an object that has the expected version; return the new version.

        ``expected_version`` 0 creates the object if there is none.
        """

    @abstractmethod
    async def delete(self, key: str, *, expected_version: int) -> None:
        """Delete an object that has the expected version."""

    @abstractmethod
    async def vms(self) -> list[ListedVm]:
        """Return the platform's list of VMs, which may be out of date."""

    @abstractmethod
    async def list(self, prefix: str) -> list[StoredObject]:
        """Return the objects whose keys begin with ``prefix``, by key."""

    @abstractmethod
    async def watch(
        self, key: str, *, after_version: int, wait_s: float
    ) -> StoredObject | None:
        """Wait up to ``wait_s`` seconds for a version above ``after_version``.

        Returns None if there was none.
        """
