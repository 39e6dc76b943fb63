"""Trace of recent requests: where each step ran and how it ended."""

from abc import ABC, abstractmethod
from collections import OrderedDict

import msgspec

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import EbonyladderError
from ebonyladder.kernel.step import Step
from ebonyladder.types import EndpointId, VmId

MAX_REQUESTS = 4_096
# Enough for a request that is rerouted for several seconds.
MAX_ENTRIES_PER_REQUEST = 48
REQUEST_ID_SEPARATOR = "."


class TraceEntry(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One step of a request on one VM.

    Attributes
    ----------
    wall_s : float
        Seconds since the Unix epoch on that VM's clock.
    attempt : int
        Number of the attempt, 0 for a step outside of an attempt.
    failed_at : str
        Step at which the failure occurred, here or on another VM.
    code, outcome : str
        Code and outcome of the refusal or failure; empty if the step succeeded.
    peer : str
        VM or endpoint at which it occurred.
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


class RequestTrace(ABC):
    """Bounded trace of the requests that this VM took part in."""

    @abstractmethod
    def record(
        self,
        request_id: str,
        step: Step,
        *,
        endpoint: EndpointId | str = "",
        owner: VmId | str = "",
        attempt: int = 0,
        error: EbonyladderError | None = None,
    ) -> None:
        """Add an entry for a step that succeeded, or that failed with ``error``."""

    @abstractmethod
    def entries(self, request_id: str) -> list[TraceEntry]:
        """Return the entries of a request on this VM, oldest first."""


class MemoryTrace(RequestTrace):
    """Trace in memory; evicts the oldest requests first.

    Parameters
    ----------
    vm : VmId
        This VM.
    clock : Clock
        Clock for the time of each entry.
    """

    def __init__(self, *, vm: VmId, clock: Clock) -> None:
        self.vm = vm
        self.clock = clock
        self.requests: OrderedDict[str, list[TraceEntry]] = OrderedDict()

    def record(
        self,
        request_id: str,
        step: Step,
        *,
        endpoint: EndpointId | str = "",
        owner: VmId | str = "",
        attempt: int = 0,
        error: EbonyladderError | None = None,
    ) -> None:
        """Add an entry, up to ``MAX_ENTRIES_PER_REQUEST`` for each request."""
        if not request_id:
            return
        entries = self.requests.get(request_id)
        if entries is None:
            entries = self.requests[request_id] = []
            if len(self.requests) > MAX_REQUESTS:
                self.requests.popitem(last=False)
        if len(entries) >= MAX_ENTRIES_PER_REQUEST:
            return
        entries.append(
            TraceEntry(
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

    def entries(self, request_id: str) -> list[TraceEntry]:
        """Return the entries of a request on this VM, oldest first."""
        return list(self.requests.get(request_id, ()))


def entry_vm_of(request_id: str) -> VmId:
    """Return the VM that accepted a request from its caller."""
    return VmId(request_id.rpartition(REQUEST_ID_SEPARATOR)[0])
