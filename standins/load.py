"""Load of sessions over all VMs; records the requests of each caller."""

import asyncio
import time
from random import Random

import aiohttp

from standins.deployment import Deployment, Vm, wait_until
from standins.records import (
    NOT_RUN,
    UNKNOWN,
    Call,
    ExecutedStatement,
    History,
    LogEntry,
    executed_statements,
    read_log,
)

WRITE_FRACTION = 0.4
TRANSACTION_FRACTION = 0.1
DEADLINE_MS = 3_000
# A request without an answer within this time is recorded as ``NO_ANSWER``.
ANSWER_TIMEOUT_S = 15.0
MEAN_THINK_TIME_S = 0.01
KEYS_PER_SESSION = 3
NO_ANSWER = "no-answer"
NOT_CONNECTED = "not-connected"


class Session:
    """One session; each request or transaction goes to a VM chosen at random.

    Parameters
    ----------
    load : Load
        Load that the session belongs to.
    organisation, name : str
        Organisation and name; both are part of the names of its rows.
    """

    def __init__(self, *, load: "Load", organisation: str, name: str) -> None:
        self.load = load
        self.organisation = organisation
        self.name = f"{organisation}.{name}"
        self.random = Random(f"{load.seed} {self.name}")
        self.token = ""
        self.number = 0

    async def run(self) -> None:
        """Send requests one after the other until the load stops."""
        while not self.load.is_stopping:
            choice = self.random.random()
            if choice < TRANSACTION_FRACTION:
                await self._transaction()
            elif choice < TRANSACTION_FRACTION + WRITE_FRACTION:
                await self._write()
            else:
                await self._read()
            await asyncio.sleep(self.random.uniform(0, 2 * MEAN_THINK_TIME_S))

    def _key(self) -> str:
        return f"{self.name}.k{self.random.randrange(KEYS_PER_SESSION)}"

    def _next_value(self, key: str) -> str:
        self.number += 1
        return f"{key}={self.number}"

    async def _write(self) -> None:
        key = self._key()
        value = self._next_value(key)
        body = {"kind": "write", "statement": f"PUT {key} {value}"}
        await self._statement(body, kind="write", key=key, value=value)

    async def _read(self) -> None:
        key = self._key()
        body = {"kind": "read", "statement": f"GET {key}"}
        await self._statement(body, kind="read", key=key)

    async def _statement(self, body: dict, **fields: str) -> None:
        path = f"/v1/services/{self.load.service}/statements"
        # All rows of a session are in one partition.
        body |= {"partition": self.name, "deadline_ms": DEADLINE_MS}
        await self._call(self._vm(), path, body, **fields)

    async def _transaction(self) -> None:
        """Write two rows in one transaction; roll back half of the transactions."""
        vm = self._vm()
        path = f"/v1/services/{self.load.service}/transactions"
        label = f"{self.name}-t{self.number}"
        body = {"partition": self.name, "deadline_ms": DEADLINE_MS}
        opened = await self._call(vm, path, body, kind="begin", transaction=label)
        if not opened:
            return
        path = f"/v1/transactions/{opened['transaction']}"
        for row in ("k0", "k1"):
            key = f"{self.name}.{row}"
            value = self._next_value(key)
            body = {"kind": "write", "statement": f"PUT {key} {value}"}
            fields = {"key": key, "value": value, "transaction": label}
            answer = await self._call(
                vm, f"{path}/statements", body, kind="statement", **fields
            )
            if not answer:
                return
        end = self.random.choice(("commit", "rollback"))
        await self._call(vm, f"{path}/{end}", {}, kind=end, transaction=label)

    def _vm(self) -> Vm:
        return self.random.choice(self.load.vms)

    async def _call(self, vm: Vm, path: str, body: dict, **fields: str) -> dict:
        """Send one request; return its answer, which is empty for a refusal."""
        headers = {"Authorization": f"Bearer {self.load.keys[self.organisation]}"}
        sent_at_s = time.monotonic()
        answer: dict = {}
        error = {"code": NO_ANSWER, "outcome": UNKNOWN}
        try:
            async with self.load.http.post(
                vm.url + path, json={**body, "session": self.token}, headers=headers
            ) as response:
                received = await response.json()
            error = received.get("error", {})
            answer = {} if error else received
        except aiohttp.ClientConnectorError:
            error = {"code": NOT_CONNECTED, "outcome": NOT_RUN}
        except (aiohttp.ClientError, TimeoutError):
            pass
        self.token = answer.get("session") or self.token
        self._record(vm, answer, error, sent_at_s, fields)
        return answer

    def _record(
        self,
        vm: Vm,
        answer: dict,
        error: dict,
        sent_at_s: float,
        fields: dict[str, str],
    ) -> None:
        rows = answer.get("rows", [])
        if fields["kind"] == "read" and rows:
            fields = {**fields, "value": rows[0] or ""}
        self.load.calls.append(
            Call(
                session=self.name,
                organisation=self.organisation,
                sent_at_s=sent_at_s,
                answered_at_s=time.monotonic(),
                vm=vm.name,
                code=error.get("code", ""),
                outcome=error.get("outcome", ""),
                step=error.get("step", ""),
                endpoint=answer.get("endpoint", ""),
                term=answer.get("term", 0),
                position=answer.get("position", 0),
                rows=len(rows),
                **fields,
            )
        )


class Load:
    """Sessions of some organisations over the VMs of a deployment.

    Parameters
    ----------
    deployment : Deployment
        Running deployment.
    organisations : tuple of str
        Organisations whose sessions send requests.
    sessions : int
        Number of sessions of each organisation.
    seed : int
        Seed of the sessions' random choices.

    Attributes
    ----------
    calls : list of Call
        Requests that have been answered or refused so far.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        seed: int,
        organisations: tuple[str, ...] = ("org-1", "org-2"),
        sessions: int = 4,
    ) -> None:
        self.seed = seed
        self.vms = list(deployment.vms)
        self.keys = deployment.keys
        self.service = deployment.site.service
        self.is_stopping = False
        self.calls: list[Call] = []
        self.sessions = [
            Session(load=self, organisation=name, name=f"s{number}")
            for name in organisations
            for number in range(sessions)
        ]

    async def __aenter__(self) -> "Load":
        """Start all sessions."""
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
        self.http = aiohttp.ClientSession(timeout=timeout)
        self.tasks = [asyncio.create_task(session.run()) for session in self.sessions]
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """Stop the sessions, each after its current request or transaction."""
        self.is_stopping = True
        try:
            await asyncio.gather(*self.tasks)
        finally:
            await self.http.close()

    def answer_count(self) -> int:
        """Return the number of answers so far."""
        return sum(call.is_answered for call in self.calls)

    async def wait_for_answers(self, count: int, timeout_s: float = 30.0) -> None:
        """Wait for ``count`` more answers, with a write of each session among them.

        The sessions' partitions are spread over the groups, so that each group that
        is used has answered a write.

        Raises
        ------
        TimeoutError
            If they do not arrive within ``timeout_s`` seconds.
        """
        first = len(self.calls)
        sessions = {session.name for session in self.sessions}
        async with asyncio.timeout(timeout_s):
            while True:
                answered = [c for c in self.calls[first:] if c.is_answered]
                writers = {c.session for c in answered if c.kind == "write"}
                if len(answered) >= count and writers == sessions:
                    return
                await asyncio.sleep(0.05)


def collect_history(deployment: Deployment, calls: list[Call]) -> History:
    """Collect the history of a deployment whose load has ended.

    Raises
    ------
    TimeoutError
        If a group has no primary.
    """
    surviving: list[LogEntry] = []
    logged: list[LogEntry] = []
    executed: list[ExecutedStatement] = []
    groups = {name: group for name, (_, _, group) in deployment.endpoints.items()}
    for group in sorted(set(groups.values())):
        primary = await_primary(deployment, group)
        for name in (name for name, of_group in groups.items() if of_group == group):
            of_endpoint, ever_logged = read_log(
                deployment.folder / f"{name}.data", group
            )
            logged += ever_logged
            surviving += of_endpoint if name == primary else []
            if deployment.processes[name].poll() is None:
                executed += executed_statements(deployment.history_of(name))
    texts = {path.name: path.read_text() for path in deployment.folder.glob("*.*")}
    return History(
        calls=calls,
        executed=executed,
        surviving=surviving,
        logged=logged,
        keys={name: deployment.keys[name] for name in {c.organisation for c in calls}},
        groups=groups,
        texts=texts,
    )


def await_primary(deployment: Deployment, group: str, *, other_than: str = "") -> str:
    """Wait until a group has a primary other than ``other_than``; return it."""

    def find_primary() -> str | None:
        primary = deployment.primary_of(group)
        return primary if primary != other_than else None

    wait_until(find_primary, f"a primary of {group}")
    return str(deployment.primary_of(group))
