"""Tests of the assignment of endpoints to owner VMs."""

from bench.ownership import ZonedMembership, make_configuration
from ebonyladder import ownership as module
from ebonyladder.kernel.clock import ManualClock
from ebonyladder.ownership import CACHE_TTL_S, Ownership
from tests.fakes import FixedConfiguration

VM = "entry-00001"


class TestOwnership:
    """Guards against owners from an old view and against hashing at each check."""

    def setup_method(self) -> None:
        self.clock = ManualClock()
        self.view = ZonedMembership(vms=12, zones=3)
        self.source = FixedConfiguration(make_configuration(30, 3))
        self.ownership = Ownership(
            vm=VM,
            membership=self.view,
            configuration=self.source,
            clock=self.clock,
        )

    def expected(self) -> dict[str, str]:
        endpoints = self.source.current.endpoints
        return {
            name: self.view.owner_of(name, spec.zone)
            for name, spec in endpoints.items()
        }

    def found(self) -> dict[str, str]:
        return {name: self.ownership.owner_of(name) for name in self.expected()}

    def test_owner_matches_the_membership_order(self):
        assert self.found() == self.expected()

    def test_owner_changes_when_a_vm_is_removed(self):
        self.found()
        groups = self.ownership.owned_groups()
        gone = self.view.records[1].vm
        self.view.records = [r for r in self.view.records if r.vm != gone]
        self.clock.advance(CACHE_TTL_S)
        assert gone not in self.found().values()
        assert self.found() == self.expected()
        assert groups != self.ownership.owned_groups()

    def test_owner_changes_when_a_zone_is_taken_out(self, monkeypatch):
        self.found()
        monkeypatch.setattr(self.view, "is_zone_in", lambda zone: zone != "zone-1")
        self.source.change(make_configuration(30, 3))
        self.clock.advance(CACHE_TTL_S)
        assert self.found() == self.expected()

    def test_unchanged_view_is_hashed_once(self, monkeypatch):
        self.found()
        self.ownership.owned_groups()
        monkeypatch.setattr(module, "rendezvous_order", None)
        self.clock.advance(10.0)
        self.source.change(make_configuration(30, 3))
        self.ownership.invalidate()
        self.found()
        self.ownership.owned_groups()
