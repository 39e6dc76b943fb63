"""Evidence that the configuration in force is current."""

from collections.abc import Sequence
from typing import NamedTuple

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import ErrorCode, RequestError
from ebonyladder.kernel.step import Step
from ebonyladder.types import ConfigurationVersion, VmId

FRESHNESS_LIMIT_S = 3.0
NEVER = float("-inf")


class StoreLossReport(NamedTuple):
    """A relay root's word that it cannot reach the store.

    Attributes
    ----------
    at_s : float
        Own time before the root was asked.
    version : ConfigurationVersion
        Version that the root had.
    """

    at_s: float
    version: ConfigurationVersion


class Freshness:
    """Evidence that the version in force was current at a time.

    All times are on the own clock and lie before the question was sent that
    the evidence answers, so transit and pauses only make evidence look older.

    Parameters
    ----------
    clock : Clock
        Clock of this VM; it must advance while the VM is paused.

    Attributes
    ----------
    current_at_s : float
        When the store still had the version in force.
    outage_at_s : float
        When most relay roots had no later version and no store.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.current_at_s = NEVER
        self.outage_at_s = NEVER
        self.losses: dict[VmId, StoreLossReport] = {}

    def confirm_current(self, at_s: float) -> None:
        """Note that the version in force was current at ``at_s``."""
        now_s = self.clock.now_s()
        self.current_at_s = max(self.current_at_s, min(at_s, now_s))

    def confirm_outage(self, at_s: float) -> None:
        """Note that most roots had no store and no later version at ``at_s``."""
        self.outage_at_s = max(self.outage_at_s, min(at_s, self.clock.now_s()))

    def replace_version(self) -> None:
        """Drop evidence for the version that was in force until now."""
        self.current_at_s = NEVER
        self.outage_at_s = NEVER

    def report_loss(self, root: VmId, report: StoreLossReport) -> None:
        """Note that a root cannot reach the store."""
        known = self.losses.get(root)
        if known is None or report.at_s > known.at_s:
            self.losses[root] = report

    def clear_loss(self, root: VmId) -> None:
        """Note that a root reaches the store or does not answer."""
        self.losses.pop(root, None)

    def judge_outage(
        self, roots: Sequence[VmId], version: ConfigurationVersion
    ) -> None:
        """Confirm an outage if most roots report one within the limit.

        A change is accepted only after most roots have it. If most roots have
        no version above ``version``, no later one had been accepted before
        they were asked.
        """
        needed = len(roots) // 2 + 1
        times = sorted(
            (
                loss.at_s
                for root, loss in self.losses.items()
                if root in roots and loss.version <= version
            ),
            reverse=True,
        )
        if roots and len(times) >= needed and self._is_recent(times[needed - 1]):
            self.confirm_outage(times[needed - 1])

    def age_s(self) -> float:
        """Return the age of the newest evidence of either kind, in seconds."""
        return self.clock.now_s() - max(self.current_at_s, self.outage_at_s)

    def is_fresh(self) -> bool:
        """Tell whether the VM may take new work."""
        return self.age_s() <= FRESHNESS_LIMIT_S

    def require_fresh(self, step: Step) -> None:
        """Raise ``RequestError`` STALE_CONFIGURATION without recent evidence."""
        if not self.is_fresh():
            raise RequestError(
                code=ErrorCode.STALE_CONFIGURATION, step=step, retry_after_s=1.0
            )

    def _is_recent(self, at_s: float) -> bool:
        return self.clock.now_s() - at_s <= FRESHNESS_LIMIT_S
