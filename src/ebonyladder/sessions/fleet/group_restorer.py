"""Group states after the store has come back from an older copy.

The copy may name a primary that has been replaced since. So the first leader of an era
writes the state of every service again before it acts, and until then no VM relies on
the states in the store.
"""

import asyncio

import msgspec
from absl import logging

from ebonyladder.kernel.error import StoreError
from ebonyladder.sessions.cluster_view import ClusterView, GroupPhase, GroupState
from ebonyladder.sessions.connection import EndpointConnector
from ebonyladder.sessions.endpoint_control import EndpointControl
from ebonyladder.sessions.endpoint_selector import GROUP_STATE_TTL_S
from ebonyladder.sessions.failover import UNKNOWN_PRIMARY
from ebonyladder.sessions.fleet.group_store import GroupStore
from ebonyladder.sessions.fleet.leadership import Leadership
from ebonyladder.sessions.fleet.log_holder_keeper import LogHolderKeeper
from ebonyladder.sessions.lead_evidence import find_last_leader
from ebonyladder.types import EndpointProcess, ServiceId, Term


class GroupRestorer:
    """Writes the group states of the store's present era.

    Parameters
    ----------
    cluster : ClusterView
        Group states that this VM knows, and the listed endpoints.
    leadership : Leadership
        Tells whether this VM has led without a break.
    group_store : GroupStore
        Writes the states.
    log_holders : LogHolderKeeper
        Endpoints that may have been promoted.
    connector : EndpointConnector
        Opens connections to endpoints.
    """

    def __init__(
        self,
        *,
        cluster: ClusterView,
        leadership: Leadership,
        group_store: GroupStore,
        log_holders: LogHolderKeeper,
        connector: EndpointConnector,
    ) -> None:
        self.cluster = cluster
        self.leadership = leadership
        self.group_store = group_store
        self.log_holders = log_holders
        self.connector = connector
        # States of the earlier era that are known to be the latest ones.
        self.latest: dict[ServiceId, GroupState] = {}

    def record_return(self) -> None:
        """Keep the group states that are the latest ones, as the store comes back.

        While its group states haven't expired, a VM is told of each state MOVING before
        a promotion is called (``BARRIER_TIMEOUT_S``), and nothing is called in the
        earlier era after the return, since the store answers no write of it any more.
        A state MOVING doesn't show how its failover ends.
        """
        age_s = self.cluster.clock.now_s() - self.cluster.groups_confirmed_at_s
        self.latest = {
            group.service: group
            for group in self.cluster.groups.values()
            if group.phase is GroupPhase.STABLE and age_s < GROUP_STATE_TTL_S
        }

    async def restore(self, *, has_current_list: bool) -> bool:
        """Write the group states again that the store may have lost.

        A leader that has led without a break knows the latest state of every service
        that has one. Another one asks the endpoints where it doesn't know it.

        Parameters
        ----------
        has_current_list : bool
            Whether this VM's list of endpoints is up to date. Otherwise one that was
            promoted may be missing.

        Returns
        -------
        bool
            Whether the states in the store are the latest ones now.
        """
        if self.leadership.may_trust_groups and self.cluster.has_only_restored_groups:
            return True
        knows_latest = self.leadership.has_resumed
        if not knows_latest and not has_current_list:
            return False
        era_start = self.cluster.era_start
        is_written = await self._write_states(knows_latest=knows_latest)
        # The store may have come back from a copy once more meanwhile.
        if not is_written or era_start != self.cluster.era_start:
            return False
        self.leadership.has_restored_groups = True
        return True

    async def _write_states(self, *, knows_latest: bool) -> bool:
        """Write the states that aren't of the present era; False if one couldn't be."""
        services = self.cluster.groups.keys()
        if not knows_latest:
            services = services | {e.service for e in self.cluster.endpoints.values()}
        to_restore = [s for s in sorted(services) if not self.cluster.is_restored(s)]
        try:
            await asyncio.gather(
                *(self._restore(s, knows_latest=knows_latest) for s in to_restore)
            )
        except StoreError as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                "[fleet] Group states could not be written again. error=%s",
                5,
                error,
            )
            return False
        return True

    async def _restore(self, service: ServiceId, *, knows_latest: bool) -> None:
        known = self.cluster.groups.get(service)
        knows_latest |= known is not None and self.latest.get(service) == known
        if knows_latest:
            restored = known
        else:
            restored = await self._ask_endpoints(service, known)
        restored = msgspec.structs.replace(
            restored, epoch=self.cluster.next_epoch(service)
        )
        await self.group_store.write(restored)
        logging.info(
            "[fleet] Group state is written again. service=%s epoch=%d phase=%s "
            "primary=%s term=%d knows_latest=%s was=%s",
            service,
            restored.epoch,
            restored.phase.value,
            restored.primary or "-",
            restored.term,
            knows_latest,
            "-" if known is None else f"{known.primary}/{known.term}/{known.epoch}",
        )

    def _listed(self, service: ServiceId) -> set[EndpointProcess]:
        return {entry.process for entry in self.cluster.members(service)}

    async def _ask_endpoints(
        self, service: ServiceId, known: GroupState | None
    ) -> GroupState:
        """Return the state that the endpoints show, MOVING if they don't show it.

        A promotion that was requested in an earlier era has taken effect by now, or
        never does: its call was sent within a second after the return, and a leader
        that has not led since then has waited for longer. So a successor that answers
        is an endpoint like the others.
        """
        holders = self.log_holders.current(service)
        term = Term(0) if known is None else known.term
        successor = None if known is None else known.successor
        control = EndpointControl(connector=self.connector)
        try:
            await control.probe(holders.latest)
            found = find_last_leader(
                control, holders, min_term=term, listed=self._listed(service)
            )
            if successor in control.endpoints:
                successor = None
            answers = control.describe(entry.process for entry in holders.latest)
        finally:
            control.close()
        is_known = found is not None and successor is None
        logging.info(
            "[fleet] Endpoints are asked which of them led last. service=%s found=%s "
            "successor=%s answers=%s",
            service,
            found.entry.process if found is not None else "-",
            successor or "-",
            answers,
        )
        if not is_known:
            return GroupState(
                service=service,
                epoch=0,
                phase=GroupPhase.MOVING,
                primary=UNKNOWN_PRIMARY,
                term=term,
                successor=successor,
                is_incomplete=True,
            )
        is_same = known is not None and (known.primary, known.term) == (
            found.entry.id,
            found.status.term,
        )
        return GroupState(
            service=service,
            epoch=0,
            phase=GroupPhase.STABLE,
            primary=found.entry.id,
            term=found.status.term,
            inherited=known.inherited if is_same else None,
        )
