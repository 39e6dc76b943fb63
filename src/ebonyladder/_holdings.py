"""Token buckets of the limit leases that this VM holds."""

from ebonyladder.configuration import Configuration, OrganisationSpec
from ebonyladder.kernel.clock import Clock
from ebonyladder.lease import Lease
from ebonyladder.limits import LeaseName, TokenBucket, bucket_size, shard_of
from ebonyladder.types import OrganisationId


class Holding:
    """One held lease with a bucket for each organisation of its shard."""

    def __init__(self, *, name: LeaseName, lease: Lease, clock: Clock) -> None:
        self.name = name
        self.lease = lease
        self.clock = clock
        self.buckets: dict[OrganisationId, TokenBucket] = {}

    def configure(self, specs: dict[OrganisationId, OrganisationSpec]) -> None:
        """Resize the buckets; those of new organisations start empty."""
        for gone in self.buckets.keys() - specs.keys():
            del self.buckets[gone]
        for organisation, spec in specs.items():
            size = bucket_size(spec, self.name)
            bucket = self.buckets.get(organisation)
            if bucket is None:
                bucket = TokenBucket(size=size, clock=self.clock)
                self.buckets[organisation] = bucket
            elif bucket.size != size:
                bucket.resize(size)


class Holdings:
    """All leases held by this VM and the organisations of each shard."""

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.held: dict[int, dict[LeaseName, Holding]] = {}
        self.specs: dict[int, dict[OrganisationId, OrganisationSpec]] = {}

    def configure(self, configuration: Configuration) -> None:
        """Apply the rates of a configuration that came into force."""
        self.specs = {}
        for organisation, spec in configuration.organisations.items():
            self.specs.setdefault(shard_of(organisation), {})[organisation] = spec
        for shard, holdings in self.held.items():
            for holding in holdings.values():
                holding.configure(self.specs.get(shard, {}))

    def open(self, name: LeaseName, lease: Lease) -> None:
        """Add a lease that was taken; its buckets start empty."""
        holding = Holding(name=name, lease=lease, clock=self.clock)
        holding.configure(self.specs.get(name.shard, {}))
        self.held.setdefault(name.shard, {})[name] = holding

    def has(self, name: LeaseName) -> bool:
        """Tell whether the lease has been added."""
        return name in self.held.get(name.shard, {})

    def close(self, name: LeaseName) -> None:
        """Remove a lease that was lost or released."""
        self.held.get(name.shard, {}).pop(name, None)

    def spec_of(self, organisation: OrganisationId) -> OrganisationSpec | None:
        """Return rate and burst of an organisation."""
        return self.specs.get(shard_of(organisation), {}).get(organisation)

    def holds_main(self, shard: int) -> bool:
        """Tell whether this VM has the shard's main lease now."""
        holding = self.held.get(shard, {}).get(LeaseName(shard))
        return holding is not None and holding.lease.is_valid()

    def buckets_of(
        self, organisation: OrganisationId, *, reserve_only: bool = False
    ) -> list[TokenBucket]:
        """Return the organisation's buckets whose leases are valid now."""
        return [
            holding.buckets[organisation]
            for name, holding in self.held.get(shard_of(organisation), {}).items()
            if not (reserve_only and name.is_main)
            and organisation in holding.buckets
            and holding.lease.is_valid()
        ]
