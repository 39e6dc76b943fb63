"""Whether this VM takes new work by the operators' word."""

from ebonyladder.configuration import Configuration, ConfigurationSource
from ebonyladder.kernel.clock import Clock
from ebonyladder.types import VmId, VmState, ZoneId

# Time for the balancer to see that the VM leaves before it refuses callers.
LEAVE_S = 3.0


class VmDuty:
    """Follow the operators' word on this VM and its zone.

    Parameters
    ----------
    vm, zone : VmId, ZoneId
        This VM and its zone.
    configuration : ConfigurationSource
        Source of the operators' word.
    clock : Clock
        Clock of ``LEAVE_S``.
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
        self.left_s: float | None = None
        self.apply(configuration.current)
        configuration.subscribe(self.apply)

    def apply(self, configuration: Configuration) -> None:
        """Note whether a configuration that came into force sends the VM away."""
        spec = configuration.vms.get(self.vm)
        is_drained = spec is not None and spec.state is VmState.DRAIN
        if not is_drained and configuration.is_zone_in(self.zone):
            self.left_s = None
        elif self.left_s is None:
            self.left_s = self.clock.now_s()

    @property
    def is_leaving(self) -> bool:
        """True if callers should be sent to other VMs."""
        return self.left_s is not None

    @property
    def takes_work(self) -> bool:
        """False once the VM has been leaving for ``LEAVE_S`` seconds."""
        return self.left_s is None or self.clock.now_s() - self.left_s < LEAVE_S
