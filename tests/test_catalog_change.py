"""Changes between versions of the configuration, as the leader sends them."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.sessions.catalog import (
    CallerKey,
    Catalog,
    Consistency,
    DatabaseName,
    Organisation,
    Route,
)
from ebonyladder.sessions.catalog_change import (
    HISTORY_LENGTH,
    CatalogChange,
    CatalogHistory,
)
from ebonyladder.sessions.messages import Report, decode, encode
from ebonyladder.types import ConfigurationVersion, OrganisationId
from tests.session_fakes import catalog, route
from tests.test_follower import World as FollowerWorld
from tests.test_leader import World as LeaderWorld
from tests.test_leader import report

# Routes of a large deployment.
ROUTES = 1_500
# Bytes of a message that a link of 20 Mbit/s sends to 195 VMs in a quarter of a second.
MAX_CHANGE_BYTES = 3_200


def entries(names: str):
    """Return a strategy for dicts with a few of the names as keys."""
    return st.dictionaries(st.sampled_from(names), st.integers(0, 3), max_size=5)


def make_catalog(
    version: int, routes: dict, organisations: dict, keys: dict
) -> Catalog:
    """Return a catalog; the values of the dicts vary its entries."""
    return Catalog(
        version=ConfigurationVersion(version),
        routes={
            DatabaseName(name): route(
                Consistency.BOUNDED, database=name, priority=number
            )
            for name, number in routes.items()
        },
        services={},
        organisations={
            OrganisationId(name): Organisation(
                name=OrganisationId(name), rate_per_s=number, burst=1.0
            )
            for name, number in organisations.items()
        },
        keys={CallerKey(k): OrganisationId(str(n)) for k, n in keys.items()},
        transaction_idle_s=float(version),
    )


def large_catalog(version: int, **changed_routes: Route) -> Catalog:
    """Return a catalog of a large deployment."""
    routes = {
        name: route(Consistency.SESSION, database=name)
        for name in (f"database-{i}" for i in range(ROUTES))
    }
    return msgspec.structs.replace(
        catalog(version), routes={**routes, **changed_routes}
    )


class TestCatalogChange:
    @given(
        *(st.tuples(entries("abcdef"), entries("uvwxyz"), entries("klmno")),) * 2,
    )
    def test_change_turns_one_version_into_the_other(self, first, second):
        # Guards against a VM whose catalog differs from that of the same version.
        base, target = make_catalog(1, *first), make_catalog(2, *second)
        sent = encode(CatalogChange.between(base, target))
        assert decode(sent, CatalogChange).apply(base) == target

    def test_withdrawn_key_is_gone_after_the_change(self):
        change = CatalogChange.between(catalog(1), catalog(2, keys=()))
        assert change.apply(catalog(1)).keys == {}

    def test_change_of_one_route_is_small(self):
        # Guards against a leader whose link is busy for seconds after each change.
        base = large_catalog(1)
        target = large_catalog(
            2, one=route(Consistency.PRIMARY, database=DatabaseName("one"))
        )
        change = CatalogChange.between(base, target)
        assert len(encode(change)) < MAX_CHANGE_BYTES < len(encode(base))


class TestHistory:
    def test_change_since_each_recorded_version(self):
        history = CatalogHistory()
        versions = [
            large_catalog(v, one=route(Consistency.SESSION, database="one", priority=v))
            for v in (1, 2, 5)
        ]
        for version in versions:
            history.record(version)
        for version in versions[:2]:
            change = history.change_since(version.version)
            assert change.apply(version) == versions[-1]

    def test_unknown_version_has_no_change(self):
        history = CatalogHistory()
        history.record(catalog(3))
        assert history.change_since(ConfigurationVersion(1)) is None

    def test_history_is_bounded(self):
        history = CatalogHistory()
        for version in range(1, 5 * HISTORY_LENGTH):
            history.record(catalog(version))
        assert len(history.catalogs) == HISTORY_LENGTH


class TestLeaderSendsChanges:
    """Guards against a link of the leader that is full of whole catalogs."""

    @pytest.fixture(autouse=True)
    def world(self):
        self.world = LeaderWorld()
        self.world.lead()
        self.world.cluster.catalog = None
        for version in (1, 2):
            self.world.cluster.apply_catalog(catalog(version, keys=(str(version),)))
            self.world.leader.refresh()

    def test_vm_of_a_known_version_gets_the_change(self):
        update = self.world.leader.answer(report(accepts_changes=True))
        change = decode(update.change_data, CatalogChange)
        assert change.apply(catalog(1, keys=("1",))) == self.world.cluster.catalog
        assert (update.catalog, update.catalog_data) == (None, None)

    def test_vm_without_a_catalog_gets_all_of_it(self):
        update = self.world.leader.answer(
            report(version=ConfigurationVersion(0), accepts_changes=True)
        )
        assert decode(update.catalog_data, Catalog) == self.world.cluster.catalog

    def test_change_is_encoded_once_for_all_vms(self):
        # Guards against a second of processor time for each change in a large fleet.
        first, second = (
            self.world.leader.answer(report(vm=vm, accepts_changes=True))
            for vm in ("vm-2", "vm-3")
        )
        assert first.change_data is second.change_data

    def test_next_version_is_encoded_again(self):
        self.world.leader.answer(report(accepts_changes=True))
        self.world.cluster.apply_catalog(catalog(3, keys=()))
        update = self.world.leader.answer(report(accepts_changes=True))
        assert decode(update.change_data, CatalogChange).version == 3

    def test_vm_of_an_earlier_build_gets_the_catalog_as_before(self):
        update = self.world.leader.answer(report())
        assert update.catalog == self.world.cluster.catalog

    def test_only_one_vm_at_a_time_is_asked_for_a_newer_catalog(self):
        # All VMs once sent theirs with every report while the leader's watches failed.
        newer = {"version": ConfigurationVersion(9), "accepts_changes": True}
        asked = [
            self.world.leader.answer(report(vm=f"vm-{i}", **newer)).wants_catalog
            for i in range(5)
        ]
        assert asked == [True, False, False, False, False]
        self.world.clock.advance(1.1)
        assert self.world.leader.answer(report(**newer)).wants_catalog


class TestFollowerSendsCatalog:
    @pytest.fixture(autouse=True)
    def world(self):
        self.clock = ManualClock()
        self.world = FollowerWorld(self.clock)
        self.world.cluster.apply_catalog(catalog(7))

    def report(self, **fields) -> Report:
        """Return the report after an update of a leader with an older version."""
        self.world.follower.apply_update(self.world.update(is_leader=True, **fields))
        return self.world.follower.report()

    def test_catalog_is_sent_once_when_the_leader_asks(self):
        assert self.report(wants_catalog=True).catalog.version == 7
        assert self.report().catalog is None

    def test_catalog_is_sent_if_the_leader_does_not_ask(self):
        # Guards against a change that never reaches a leader of an earlier build.
        assert self.report().catalog is None
        self.clock.advance(5.0)
        assert self.report().catalog.version == 7

    def test_change_of_another_version_is_not_applied(self):
        change = CatalogChange.between(catalog(3), catalog(9, keys=()))
        self.report(change_data=encode(change))
        assert self.world.cluster.version == 7
        change = CatalogChange.between(catalog(7), catalog(9, keys=()))
        self.report(change_data=encode(change))
        assert (self.world.cluster.version, self.world.cluster.catalog.keys) == (9, {})
