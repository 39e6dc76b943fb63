"""Journal of recent requests: which step went where and what it met."""

from abc import ABC, abstractmethod
from collections import OrderedDict

import msgspec

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import EbonyladderError
from ebonyladder.kernel.step import Step
from ebonyladder.types import EndpointId, VmId

REQUESTS_LIMIT = 4_096
# Enough for a request that is rerouted for some seconds.
ENTRIES_LIMIT = 48
SEPARATOR = "."


class JournalEntry(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One step of a request on one VM.

    Attributes
    ----------
    wall_s : float
        Seconds since the Unix epoch on that VM's clock.
    attempt : int
        Number of the attempt, 0 where the step belongs to none.
    failed_at : str
        Step at which the failure arose, here or on another VM.
    code, outcome : str
        Refusal or failure; empty where the step succeeded.
    peer : str
        VM or endpoint that refused or failed.
    """

    wall_s: float
    vm: VmId
    step: str
    endpoint: str = ""
    owner: str = ""
    attempt: int = 0
    failed_at: str = ""
    code: str = ""
    outcome: str = ""
    peer: str = ""


class RequestJournal(ABC):
    """Bounded journal of this VM."""

    @abstractmethod
    def note(
        self,
        request_id: str,
        step: Step,
        *,
        endpoint: EndpointId | str = "",
        owner: VmId | str = "",
        attempt: int = 0,
        error: EbonyladderError | None = None,
    ) -> None:
        """Add an entry for a step that was done, or that ended with ``error``."""

    @abstractmethod
    def entries(self, request_id: str) -> list[JournalEntry]:
        """Return the entries of a request on this VM, oldest first."""


class MemoryJournal(RequestJournal):
    """Journal in memory; the oldest requests are dropped first.

    Parameters
    ----------
    vm : VmId
        This VM.
    clock : Clock
        Clock of the entries.
    """

    def __init__(self, *, vm: VmId, clock: Clock) -> None:
        self.vm = vm
        self.clock = clock
        self.requests: OrderedDict[str, list[JournalEntry]] = OrderedDict()

    def note(
        self,
        request_id: str,
        step: Step,
        *,
        endpoint: EndpointId | str = "",
        owner: VmId | str = "",
        attempt: int = 0,
        error: EbonyladderError | None = None,
    ) -> None:
        """Add an entry, up to ``ENTRIES_LIMIT`` for each request."""
        if not request_id:
            return
        entries = self.requests.get(request_id)
        if entries is None:
            entries = self.requests[request_id] = []
            if len(self.requests) > REQUESTS_LIMIT:
                self.requests.popitem(last=False)
        if len(entries) >= ENTRIES_LIMIT:
            return
        entries.append(
            JournalEntry(
                wall_s=self.clock.wall_s(),
                vm=self.vm,
                step=step.value,
                endpoint=endpoint,
                owner=owner,
                attempt=attempt,
                failed_at=error.step.value if error else "",
                code=error.code.value.code if error else "",
                outcome=error.outcome.value if error else "",
                peer=error.peer if error else "",
            )
        )

    def entries(self, request_id: str) -> list[JournalEntry]:
        """Return the entries of a request on this VM, oldest first."""
        return list(self.requests.get(request_id, ()))


def entry_vm_of(request_id: str) -> VmId:
    """Return the VM that took a request from its caller."""
    return VmId(request_id.rpartition(SEPARATOR)[0])
