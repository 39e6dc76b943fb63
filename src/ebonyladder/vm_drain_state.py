"""Drain state of this VM as configured by operators."""

from ebonyladder.configuration import Configuration, ConfigurationSource
from ebonyladder.kernel.clock import Clock
from ebonyladder.types import VmId, VmState, ZoneId

# Time for the load balancer to detect the drain before the VM refuses callers.
DRAIN_NOTICE_S = 3.0


class VmDrainState:
    """Drain state of this VM as configured for the VM and its zone.

    Parameters
    ----------
    vm, zone : VmId, ZoneId
        This VM and its zone.
    configuration : ConfigurationSource
        Source of the configured states.
    clock : Clock
        Clock that measures ``DRAIN_NOTICE_S``.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        zone: ZoneId,
        configuration: ConfigurationSource,
        clock: Clock,
    ) -> None:
        self.vm = vm
        self.zone = zone
        self.clock = clock
        self.drain_started_at_s: float | None = None
        self.apply(configuration.current)
        configuration.subscribe(self.apply)

    def apply(self, configuration: Configuration) -> None:
        """Start or end the drain according to a new active configuration."""
        spec = configuration.vms.get(self.vm)
        is_vm_drained = spec is not None and spec.state is VmState.DRAIN
        if not is_vm_drained and configuration.is_zone_in(self.zone):
            self.drain_started_at_s = None
        elif self.drain_started_at_s is None:
            self.drain_started_at_s = self.clock.now_s()

    @property
    def is_draining(self) -> bool:
        """True if callers should be sent to other VMs."""
        return self.drain_started_at_s is not None

    @property
    def accepts_work(self) -> bool:
        """False once the VM has been draining for ``DRAIN_NOTICE_S`` seconds."""
        return (
            self.drain_started_at_s is None
            or self.clock.now_s() - self.drain_started_at_s < DRAIN_NOTICE_S
        )
