"""Slow start of endpoints that return to service."""

from ebonyladder.configuration import Configuration, ConfigurationSource
from ebonyladder.kernel.clock import Clock
from ebonyladder.types import EndpointId

SLOW_START_MIN_WEIGHT = 0.1
SLOW_START_DURATION_S = 8.0


def slow_start_weight(since_return_s: float) -> float:
    """Return the fraction of its usual reads that a returned endpoint gets."""
    progress = min(max(since_return_s, 0.0) / SLOW_START_DURATION_S, 1.0)
    return SLOW_START_MIN_WEIGHT + (1.0 - SLOW_START_MIN_WEIGHT) * progress


class SlowStart:
    """Record when endpoints leave service and return, and weight their reads.

    Parameters
    ----------
    configuration : ConfigurationSource
        Endpoints and zones with their states.
    clock : Clock
        Clock of the times; a change counts from when this VM applies it.

    Attributes
    ----------
    out_since_s : dict of EndpointId to float
        Time at which each endpoint that is out of service left it.
    back_since_s : dict of EndpointId to float
        Time at which each endpoint that was out returned to service.
    """

    def __init__(self, *, configuration: ConfigurationSource, clock: Clock) -> None:
        self.clock = clock
        self.out_since_s: dict[EndpointId, float] = {}
        self.back_since_s: dict[EndpointId, float] = {}
        self.apply(configuration.current)
        configuration.subscribe(self.apply)

    def apply(self, configuration: Configuration) -> None:
        """Record which endpoints left service or returned with a configuration."""
        now_s = self.clock.now_s()
        out = {
            name
            for name in configuration.endpoints
            if not configuration.is_endpoint_in_service(name)
        }
        for name in self.out_since_s.keys() - out:
            del self.out_since_s[name]
            self.back_since_s[name] = now_s
        for name in out - self.out_since_s.keys():
            self.out_since_s[name] = now_s
            self.back_since_s.pop(name, None)
        for name in self.back_since_s.keys() - configuration.endpoints.keys():
            del self.back_since_s[name]

    def out_for_s(self, endpoint: EndpointId) -> float:
        """Return the seconds since an endpoint left service, 0 if it is in service."""
        out_since_s = self.out_since_s.get(endpoint)
        return 0.0 if out_since_s is None else self.clock.now_s() - out_since_s

    def weight(self, endpoint: EndpointId) -> float:
        """Return the fraction of its usual reads that an endpoint gets now."""
        back_since_s = self.back_since_s.get(endpoint)
        if back_since_s is None:
            return 1.0
        return slow_start_weight(self.clock.now_s() - back_since_s)
