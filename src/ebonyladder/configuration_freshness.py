"""Whether the active configuration is known to be current."""

from collections.abc import Sequence
from typing import NamedTuple

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import ErrorCode, RequestError
from ebonyladder.kernel.step import Step
from ebonyladder.types import ConfigurationVersion, VmId

MAX_STALENESS_S = 3.0
NEVER_S = float("-inf")


class StoreUnreachableReport(NamedTuple):
    """Report of a relay root that it cannot reach the store.

    Attributes
    ----------
    at_s : float
        Time on this VM's clock before the request to the root was sent.
    version : ConfigurationVersion
        Version that the root had.
    """

    at_s: float
    version: ConfigurationVersion


class ConfigurationFreshness:
    """Latest time at which the active version was confirmed to be current.

    All times are on this VM's clock, from before it sent the request that led to
    the confirmation, so transit time and pauses of the VM only make a
    confirmation look older.

    Parameters
    ----------
    clock : Clock
        Clock of this VM; it must advance while the VM is paused.

    Attributes
    ----------
    current_at_s : float
        Latest time at which the store is known to have had the active version.
    outage_at_s : float
        Latest time at which most relay roots are known to have been unable to
        reach the store and to have had no later version.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.current_at_s = NEVER_S
        self.outage_at_s = NEVER_S
        self.unreachable_reports: dict[VmId, StoreUnreachableReport] = {}

    def confirm_current(self, at_s: float) -> None:
        """Record that the active version was current at ``at_s``."""
        now_s = self.clock.now_s()
        self.current_at_s = max(self.current_at_s, min(at_s, now_s))

    def confirm_outage(self, at_s: float) -> None:
        """Record a store outage at ``at_s`` without a later version.

        Most roots could not reach the store and had no later version then.
        """
        self.outage_at_s = max(self.outage_at_s, min(at_s, self.clock.now_s()))

    def reset(self) -> None:
        """Discard the confirmations of the version that was active until now."""
        self.current_at_s = NEVER_S
        self.outage_at_s = NEVER_S

    def record_store_unreachable(
        self, root: VmId, report: StoreUnreachableReport
    ) -> None:
        """Record that a root cannot reach the store."""
        known = self.unreachable_reports.get(root)
        if known is None or report.at_s > known.at_s:
            self.unreachable_reports[root] = report

    def clear_store_unreachable(self, root: VmId) -> None:
        """Record that a root reaches the store or does not answer."""
        self.unreachable_reports.pop(root, None)

    def evaluate_outage(
        self, roots: Sequence[VmId], version: ConfigurationVersion
    ) -> None:
        """Record a store outage if most roots have reported one recently.

        A report counts for ``MAX_STALENESS_S``. A change is accepted only after
        most roots have it, so if most roots have no version above ``version``,
        no later one had been accepted before they were queried.
        """
        needed = len(roots) // 2 + 1
        times = sorted(
            (
                report.at_s
                for root, report in self.unreachable_reports.items()
                if root in roots and report.version <= version
            ),
            reverse=True,
        )
        if roots and len(times) >= needed and self._is_recent(times[needed - 1]):
            self.confirm_outage(times[needed - 1])

    def age_s(self) -> float:
        """Return the seconds since the latest confirmation of either kind."""
        return self.clock.now_s() - max(self.current_at_s, self.outage_at_s)

    def is_fresh(self) -> bool:
        """Tell whether the VM may accept new work."""
        return self.age_s() <= MAX_STALENESS_S

    def require_fresh(self, step: Step) -> None:
        """Raise ``RequestError`` STALE_CONFIGURATION if it isn't fresh."""
        if not self.is_fresh():
            raise RequestError(
                code=ErrorCode.STALE_CONFIGURATION, step=step, retry_after_s=1.0
            )

    def _is_recent(self, at_s: float) -> bool:
        return self.clock.now_s() - at_s <= MAX_STALENESS_S
