"""Token buckets of the limit leases that this VM holds."""

from ebonyladder.configuration import Configuration, OrganisationSpec
from ebonyladder.kernel.clock import Clock
from ebonyladder.lease import Lease
from ebonyladder.limits import LeaseName, TokenBucket, bucket_size, shard_of
from ebonyladder.types import OrganisationId


class HeldLease:
    """One held lease with a bucket for each organisation of its shard."""

    def __init__(self, *, name: LeaseName, lease: Lease, clock: Clock) -> None:
        self.name = name
        self.lease = lease
        self.clock = clock
        self.buckets: dict[OrganisationId, TokenBucket] = {}

    def configure(self, specs: dict[OrganisationId, OrganisationSpec]) -> None:
        """Resize the buckets; those of new organisations start empty."""
        for removed in self.buckets.keys() - specs.keys():
            del self.buckets[removed]
        for organisation, spec in specs.items():
            size = bucket_size(spec, self.name)
            bucket = self.buckets.get(organisation)
            if bucket is None:
                bucket = TokenBucket(size=size, clock=self.clock)
                self.buckets[organisation] = bucket
            elif bucket.size != size:
                bucket.resize(size)


class HeldLeases:
    """All leases held by this VM and the organisations of each shard."""

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.by_shard: dict[int, dict[LeaseName, HeldLease]] = {}
        self.specs: dict[int, dict[OrganisationId, OrganisationSpec]] = {}

    def configure(self, configuration: Configuration) -> None:
        """Apply the rates of a configuration that became active."""
        self.specs = {}
        for organisation, spec in configuration.organisations.items():
            self.specs.setdefault(shard_of(organisation), {})[organisation] = spec
        for shard, held_leases in self.by_shard.items():
            for held_lease in held_leases.values():
                held_lease.configure(self.specs.get(shard, {}))

    def add(self, name: LeaseName, lease: Lease) -> None:
        """Add a lease that was acquired; its buckets start empty."""
        held_lease = HeldLease(name=name, lease=lease, clock=self.clock)
        held_lease.configure(self.specs.get(name.shard, {}))
        self.by_shard.setdefault(name.shard, {})[name] = held_lease

    def has(self, name: LeaseName) -> bool:
        """Tell whether the lease has been added."""
        return name in self.by_shard.get(name.shard, {})

    def remove(self, name: LeaseName) -> None:
        """Remove a lease that was lost or released."""
        self.by_shard.get(name.shard, {}).pop(name, None)

    def spec_of(self, organisation: OrganisationId) -> OrganisationSpec | None:
        """Return rate and burst of an organisation."""
        return self.specs.get(shard_of(organisation), {}).get(organisation)

    def holds_main(self, shard: int) -> bool:
        """Tell whether this VM has the shard's main lease now."""
        held_lease = self.by_shard.get(shard, {}).get(LeaseName(shard))
        return held_lease is not None and held_lease.lease.is_valid()

    def buckets_of(
        self, organisation: OrganisationId, *, reserve_only: bool = False
    ) -> list[TokenBucket]:
        """Return the organisation's buckets whose leases are valid now."""
        return [
            held_lease.buckets[organisation]
            for name, held_lease in self.by_shard.get(
                shard_of(organisation), {}
            ).items()
            if not (reserve_only and name.is_main)
            and organisation in held_lease.buckets
            and held_lease.lease.is_valid()
        ]
