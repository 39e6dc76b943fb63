"""Times at which endpoints leave service and return, and the return ramp."""

from ebonyladder.configuration import Configuration, ConfigurationSource
from ebonyladder.kernel.clock import Clock
from ebonyladder.types import EndpointId

RAMP_START = 0.1
RAMP_S = 8.0


def ramp_weight(since_return_s: float) -> float:
    """Return the share of its usual reads that a returned endpoint gets."""
    progress = min(max(since_return_s, 0.0) / RAMP_S, 1.0)
    return RAMP_START + (1.0 - RAMP_START) * progress


class ServiceChanges:
    """Note when endpoints leave service and when they return.

    Parameters
    ----------
    configuration : ConfigurationSource
        Endpoints and zones with their states.
    clock : Clock
        Clock of the times; a change counts from when it is in force here.

    Attributes
    ----------
    left_s, returned_s : dict of EndpointId to float
        Time of the last change of the endpoints that are out, or back.
    """

    def __init__(self, *, configuration: ConfigurationSource, clock: Clock) -> None:
        self.clock = clock
        self.left_s: dict[EndpointId, float] = {}
        self.returned_s: dict[EndpointId, float] = {}
        self.apply(configuration.current)
        configuration.subscribe(self.apply)

    def apply(self, configuration: Configuration) -> None:
        """Compare a configuration that came into force with the one before."""
        now_s = self.clock.now_s()
        out = {
            name
            for name in configuration.endpoints
            if not configuration.is_endpoint_in_service(name)
        }
        for name in self.left_s.keys() - out:
            del self.left_s[name]
            self.returned_s[name] = now_s
        for name in out - self.left_s.keys():
            self.left_s[name] = now_s
            self.returned_s.pop(name, None)
        for name in self.returned_s.keys() - configuration.endpoints.keys():
            del self.returned_s[name]

    def out_for_s(self, endpoint: EndpointId) -> float:
        """Return for how many seconds an endpoint has been out, 0 if it is in."""
        left_s = self.left_s.get(endpoint)
        return 0.0 if left_s is None else self.clock.now_s() - left_s

    def weight(self, endpoint: EndpointId) -> float:
        """Return the share of its usual reads that an endpoint gets now."""
        returned_s = self.returned_s.get(endpoint)
        if returned_s is None:
            return 1.0
        return ramp_weight(self.clock.now_s() - returned_s)
