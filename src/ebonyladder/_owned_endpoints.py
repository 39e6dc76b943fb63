"""Queues and connections of the endpoints that this VM owns."""

from ebonyladder.configuration import Configuration, ConfigurationSource, EndpointSpec
from ebonyladder.endpoint import EndpointDriver
from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import ErrorCode, RequestError
from ebonyladder.kernel.step import Step
from ebonyladder.ownership import Ownership
from ebonyladder.pool import ConnectionPool, max_owner_connections
from ebonyladder.queue import FairQueue
from ebonyladder.slow_start import SlowStart
from ebonyladder.types import EndpointId, RequestKind

# A primary out of service accepts writes until the switchover, for at most this long.
OUT_OF_SERVICE_WRITES_S = 3.0


class OwnedEndpoint:
    """Endpoint with its queue and connections.

    Attributes
    ----------
    spec : EndpointSpec
        Specification with which queue and pool were created.
    """

    def __init__(
        self, *, spec: EndpointSpec, queue: FairQueue, pool: ConnectionPool
    ) -> None:
        self.spec = spec
        self.queue = queue
        self.pool = pool


class OwnedEndpoints:
    """Create queues and pools, and refuse work for endpoints out of service.

    Parameters
    ----------
    ownership : Ownership
        Tells which endpoints this VM owns.
    configuration : ConfigurationSource
        Endpoints and their states.
    driver : EndpointDriver
        Opens connections.
    clock : Clock
        Clock of queues and of ``OUT_OF_SERVICE_WRITES_S``.
    """

    def __init__(
        self,
        *,
        ownership: Ownership,
        configuration: ConfigurationSource,
        driver: EndpointDriver,
        clock: Clock,
    ) -> None:
        self.ownership = ownership
        self.configuration = configuration
        self.driver = driver
        self.clock = clock
        self.slow_start = SlowStart(configuration=configuration, clock=clock)
        self.endpoints: dict[EndpointId, OwnedEndpoint] = {}
        configuration.subscribe(self._resize)

    def require(self, endpoint: EndpointId, kind: RequestKind) -> OwnedEndpoint:
        """Return queue and pool of an endpoint for new work.

        Raises
        ------
        RequestError
            NOT_OWNER or NO_ENDPOINT, not run.
        """
        configuration = self.configuration.current
        spec = configuration.endpoints.get(endpoint)
        if spec is None or not self.ownership.owns(endpoint):
            raise not_owner(self.ownership, endpoint)
        if not configuration.is_endpoint_in_service(endpoint):
            self._require_write_before_switchover(endpoint, kind)
        owned = self.endpoints.get(endpoint)
        if owned is None or owned.spec.address != spec.address:
            owned = self._make(endpoint, spec)
            self.endpoints[endpoint] = owned
        return owned

    def _require_write_before_switchover(
        self, endpoint: EndpointId, kind: RequestKind
    ) -> None:
        is_write = kind is RequestKind.WRITE
        if is_write and self.slow_start.out_for_s(endpoint) < OUT_OF_SERVICE_WRITES_S:
            return
        raise RequestError(
            code=ErrorCode.NO_ENDPOINT,
            step=Step.ROUTE,
            peer=endpoint,
            message=f"{endpoint} is out of service",
        )

    async def close_unused(self) -> None:
        """Close idle connections to endpoints to which this VM sends no work.

        A former owner must not keep connections that count against the limit of
        the next owners.
        """
        for name, owned in list(self.endpoints.items()):
            is_refused = self.slow_start.out_for_s(name) >= OUT_OF_SERVICE_WRITES_S
            if is_refused or not self.ownership.owns(name):
                await owned.pool.close()
                if not owned.pool.size and self.endpoints.get(name) is owned:
                    del self.endpoints[name]

    async def close(self) -> None:
        """Close all idle connections."""
        for owned in self.endpoints.values():
            await owned.pool.close()

    def _make(self, endpoint: EndpointId, spec: EndpointSpec) -> OwnedEndpoint:
        return OwnedEndpoint(
            spec=spec,
            queue=FairQueue(endpoint=endpoint, slots=spec.slots, clock=self.clock),
            pool=ConnectionPool(
                endpoint=endpoint,
                address=spec.address,
                driver=self.driver,
                max_connections=max_owner_connections(spec.connections),
            ),
        )

    def _resize(self, configuration: Configuration) -> None:
        """Apply changed slots of endpoints."""
        for name, owned in self.endpoints.items():
            spec = configuration.endpoints.get(name)
            if spec is not None and spec.slots != owned.queue.slots:
                owned.queue.resize(spec.slots)


def not_owner(ownership: Ownership, resource: str) -> RequestError:
    """Return the error for work on a group or endpoint that another VM owns."""
    return RequestError(
        code=ErrorCode.NOT_OWNER,
        step=Step.ROUTE,
        peer=ownership.vm,
        message=f"this VM does not own {resource}",
        retry_after_s=0.1,
    )
