"""Faults of the failover model in which a log moves on, or the VMs' memory ends.

The platform transfers the log of a database that drains to a new one at its address,
and a database that crashes while it leaves may come back with its log.
"""

from typing import TYPE_CHECKING

from ebonyladder.types import EndpointState, Role
from tests.failover_databases import Database

if TYPE_CHECKING:
    from tests.failover_model import FailoverModel

# Times until a database that has ended is followed by the one with its log, in seconds.
TRANSFER_TIMES_S = (0.1, 0.5, 1.5, 3.0)
DRAIN_TIMES_S = (0.5, 1.0, 3.0, 6.0)


def hand_over(model: "FailoverModel", database: Database) -> None:
    """Let a database drain and end, and a new one take its address and its log."""
    random = model.random
    model.record(f"fault: {database.process} drains, its log will be transferred")
    database.state = EndpointState.LEAVING
    leads = random.random() < 0.5

    def start() -> None:
        model.names += 1
        new = model.service.start_again(database, f"db-{model.names}", model.now_ms())
        if not leads:
            new.role = Role.REPLICA
        model.record(f"{new.process} has the log of {database.process}")

    def end() -> None:
        # A primary also ends once its drain is over, whether it was replaced or not.
        if not database.is_up:
            return
        model.record(f"{database.process} has ended, its log is transferred")
        database.end(model.clock.now_s(), is_log_lost=False)
        database.has_heartbeats = False
        database.seen_at_s = float("-inf")
        model.end_after(random.choice(TRANSFER_TIMES_S), start)

    model.end_after(random.choice(DRAIN_TIMES_S), end)


def crash_while_leaving(model: "FailoverModel", database: Database) -> None:
    """Let a database announce that it leaves, and crash before it has left."""
    model.record(f"fault: {database.process} leaves and will crash")
    database.state = EndpointState.LEAVING

    def crash() -> None:
        if database.is_up:
            model.crash(database)

    model.end_after(model.random.choice(DRAIN_TIMES_S), crash)


def kill_all_vms(model: "FailoverModel") -> None:
    """End all VMs: the next leader knows nothing of what callers were told."""
    leader = model.leader
    model.record("fault: all VMs are killed")
    leader.has_lease = False
    leader.cancel()
    model.former_leaders.clear()
    model.vms_killed_at_s = model.clock.now_s()

    def start() -> None:
        if model.leader is leader and not leader.has_lease:
            model.start_leader()

    model.end_after(model.random.choice((0.6, 1.0, 3.0)), start)
