"""Faults of a soak test in the statement protocol itself."""

import asyncio
from random import Random

from soak.fault_group import FaultGroup
from soak.fleet import SoakFleet
from soak.history import History
from soak.odd_client import OddTextClient
from standins.answer_repeats import AnswerRepeats
from standins.statement_database import Connection, QueryHook

# Bounds of the share of answers that a stuttering database repeats.
REPEATED_SHARE = (0.02, 0.3)
MAX_REPEAT_DELAY_S = 1.0
# Share of the queries that a stuttering database refuses. Copies of refusals are the
# ones that a caller may take for a promise.
REFUSED_SHARE = 0.05
REFUSABLE_WORDS = {"READ", "WRITE", "EXECUTE", "BEGIN", "COMMIT", "SET", "PREPARE"}
ODD_CLIENTS = 3


class StatementFaults(FaultGroup):
    """Databases that answer twice, and callers with odd texts.

    Parameters
    ----------
    fleet, random
        See `FaultGroup`.
    history : History
        Records the statements of the callers.
    """

    def __init__(self, *, fleet: SoakFleet, random: Random, history: History) -> None:
        super().__init__(fleet=fleet, random=random)
        self.history = history
        self.kinds = [self.stutter, self.odd_callers]

    async def stutter(self) -> None:
        """Let some databases write answers a second time and refuse some queries."""
        databases = [
            d
            for service in self.fleet.platform.services
            for d in service.databases.values()
        ]
        chosen = self.random.sample(databases, self.random.randint(1, len(databases)))
        for database in chosen:
            database.repeats = AnswerRepeats(
                share=self.random.uniform(*REPEATED_SHARE),
                max_delay_s=self.random.uniform(0.0, MAX_REPEAT_DELAY_S),
                random=Random(self.random.random()),
            )
            database.query_hook = refuse_some(Random(self.random.random()))
        await self.wait()
        for database in chosen:
            database.repeats = database.query_hook = None

    async def odd_callers(self) -> None:
        """Let some more callers use texts drawn from all bytes."""
        number = self.random.getrandbits(32)
        services = self.fleet.platform.services
        clients = [
            OddTextClient(
                name=f"odd{number}.{i}",
                fleet=self.fleet,
                history=self.history,
                seed=number + i,
                service=i % len(services),
            )
            for i in range(ODD_CLIENTS)
        ]
        async with asyncio.TaskGroup() as group:
            for client in clients:
                group.create_task(client.run())
            await self.wait()
            for client in clients:
                client.is_stopping = True


def refuse_some(random: Random) -> QueryHook:
    """Return a hook that refuses a share of the queries."""

    def hook(connection: Connection, id: str, text: str) -> str | None:
        is_refused = random.random() < REFUSED_SHARE
        return "BUSY" if is_refused and REFUSABLE_WORDS & set(text.split(" ")) else None

    return hook
