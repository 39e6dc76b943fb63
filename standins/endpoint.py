"""Stand-in for a database endpoint: JSON over WebSocket, replication and faults."""

import asyncio
import contextlib
import json
import time
from pathlib import Path

import fire
import uvloop
from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from standins.database import Database, RefusedError, Role, Transaction
from standins.log import Entry, ReplicatedLog, Segment

HEARTBEAT_INTERVAL_S = 0.1
RECONNECT_DELAY_S = 0.1
MAX_MESSAGE_BYTES = 64_000_000


class EndpointServer:
    """One database of a group.

    Parameters
    ----------
    database : Database
        Rows and log of the endpoint.
    slots : int
        Statements that run concurrently.
    connections : int
        Maximum number of open connections.
    connect_s, statement_s, lag_s, network_s : float
        Time to open a connection, time to run a statement, time between the
        receipt of an entry and its visibility, and one-way delay of the
        replication connection, in seconds.
    """

    def __init__(
        self,
        *,
        database: Database,
        slots: int,
        connections: int,
        connect_s: float,
        statement_s: float,
        lag_s: float,
        network_s: float,
    ) -> None:
        self.database = database
        self.slots = asyncio.Semaphore(slots)
        self.connections = connections
        self.connect_s = connect_s
        self.statement_s = statement_s
        self.lag_s = lag_s
        self.network_s = network_s
        self.open_connections = 0
        self.max_open_connections = 0
        self.blocked_paths: set[str] = set()
        self.primary_contact_at_s = 0.0
        self.primary_address = ""
        self.follower: asyncio.Task | None = None
        self.changed = asyncio.Event()
        self.sockets: set[ServerConnection] = set()

    def notify(self) -> None:
        """Notify the report and replication streams of a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, socket: ServerConnection) -> None:
        """Serve one connection with the method for its path."""
        path = socket.request.path.strip("/")
        await self.wait_until_unblocked(path)
        self.sockets.add(socket)
        socket.kind = path
        with contextlib.suppress(ConnectionClosed):
            try:
                await getattr(self, f"serve_{path}")(socket)
            finally:
                self.sockets.discard(socket)

    async def wait_until_unblocked(self, path: str) -> None:
        """Wait while the path is blocked, as in a network partition."""
        while path in self.blocked_paths:
            await self.changed.wait()

    # Statements.

    async def serve_sql(self, socket: ServerConnection) -> None:
        """Run the statements of one database connection, one at a time."""
        if self.open_connections >= self.connections:
            await socket.close(1013, "too many connections")
            return
        self.open_connections += 1
        self.max_open_connections = max(
            self.max_open_connections, self.open_connections
        )
        transaction: Transaction | None = None
        try:
            await asyncio.sleep(self.connect_s)
            await socket.send("{}")
            async for frame in socket:
                request = json.loads(frame)
                try:
                    transaction, answer = await self.run(request, transaction, socket)
                except RefusedError as refusal:
                    answer = {"error": refusal.code, "message": str(refusal)}
                    if request["op"] in ("commit", "rollback"):
                        transaction = None
                await self.wait_until_unblocked("sql")
                await socket.send(json.dumps({"id": request["id"], **answer}))
        finally:
            self.open_connections -= 1

    async def run(
        self, request: dict, transaction: Transaction | None, socket: ServerConnection
    ) -> tuple[Transaction | None, dict]:
        """Run one request; return the open transaction and the answer."""
        database = self.database
        op = request["op"]
        if op == "begin":
            return database.begin(request["organisation"]), self.answer_fields()
        if op == "rollback":
            return None, self.answer_fields()
        if op == "commit":
            if transaction is None:
                raise RefusedError("no-transaction", "no transaction is open")
            async with self.slots:
                await asyncio.sleep(self.statement_s)
                position = database.commit(transaction)
            database.record(
                op="commit", transaction=self._transaction_id(socket, transaction)
            )
            self.notify()
            return None, self.answer_fields(position)
        return transaction, await self.execute(request, transaction, socket)

    async def execute(
        self, request: dict, transaction: Transaction | None, socket: ServerConnection
    ) -> dict:
        """Run one statement, in a transaction of its own if none is open."""
        database = self.database
        organisation, text = request["organisation"], request["text"]
        writes = request["kind"] == "write"
        async with self.slots:
            sleep_s = float(text.split()[1]) / 1000 if text.startswith("SLEEP") else 0
            await asyncio.sleep(sleep_s or self.statement_s)
            current = transaction or Transaction(number=0, organisation=organisation)
            rows = database.execute(
                organisation, text, writes=writes, transaction=current
            )
            if transaction is None:
                if writes:
                    database.commit(current)
                    self.notify()
                position = database.applied
            else:
                position = database.log.received
        database.record(
            op="execute",
            organisation=organisation,
            text=text,
            kind=request["kind"],
            role=database.role.value,
            rows=rows if len(rows) < 10 else len(rows),
            transaction=self._transaction_id(socket, transaction),
        )
        return {**self.answer_fields(position), "rows": rows}

    @staticmethod
    def _transaction_id(
        socket: ServerConnection, transaction: Transaction | None
    ) -> str:
        return f"{socket.id.hex[:8]}-{transaction.number}" if transaction else ""

    def answer_fields(self, position: int | None = None) -> dict:
        """Return the answer fields for the position at which a statement ran."""
        log = self.database.log
        if position is None:
            position = self.database.applied
        return {
            "rows": [],
            "term": log.log_term,
            "position": position,
            "role": self.database.role.value,
        }

    # Reports.

    def report(self, probe: int = 0) -> str:
        """Return the encoded report of this endpoint."""
        database = self.database
        is_primary = database.role is Role.PRIMARY
        age_s = 0.0 if is_primary else time.monotonic() - self.primary_contact_at_s
        return json.dumps(
            {
                "endpoint": database.name,
                "role": database.role.value,
                "fence_term": database.log.fence_term,
                "log_term": database.log.log_term,
                "term_start": database.log.term_start,
                "received": database.log.received,
                "applied": database.applied,
                "primary_contact_age_s": age_s,
                "probe": probe,
            }
        )

    async def serve_reports(self, socket: ServerConnection) -> None:
        """Send a report on each change, at each heartbeat and for each probe."""

        async def answer_probes() -> None:
            async for frame in socket:
                if "reports" not in self.blocked_paths:
                    await socket.send(self.report(json.loads(frame)["probe"]))

        probes = asyncio.create_task(answer_probes())
        try:
            while not probes.done():
                changed = self.changed
                if "reports" not in self.blocked_paths:
                    await socket.send(self.report())
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                        await changed.wait()
        finally:
            probes.cancel()

    # Promotion control.

    async def serve_control(self, socket: ServerConnection) -> None:
        """Answer fence, promote and follow calls."""
        async for frame in socket:
            request = json.loads(frame)
            if "control" in self.blocked_paths:
                continue
            try:
                answer = self.control(request)
            except RefusedError as refusal:
                answer = {"error": refusal.code, "message": str(refusal)}
            await socket.send(json.dumps(answer))

    def control(self, request: dict) -> dict:
        """Run one promotion call."""
        database, log = self.database, self.database.log
        op, term = request["op"], request["term"]
        if op == "fence":
            if not database.fence(term, request["promoter"]):
                raise RefusedError(
                    "fenced", f"the vote of term {log.fence_term} is already given"
                )
            self.stop_following()
            answer = {"log_term": log.log_term, "received": log.received}
        elif op == "promote":
            start = database.promote(term, request["promoter"])
            answer = {"term": term, "position": start}
        else:
            if term < log.fence_term or (
                database.role is Role.PRIMARY and term <= log.log_term
            ):
                raise RefusedError("fenced", f"follows term {log.fence_term}")
            log.accept_term(term)
            database.role = Role.REPLICA
            self.follow(request["primary_address"])
            answer = {}
        self.notify()
        return answer

    # Replication.

    def stop_following(self) -> None:
        """End replication from the previous primary."""
        if self.follower is not None:
            self.follower.cancel()
            self.follower = None

    def follow(self, address: str) -> None:
        """Replicate from the primary at ``address``."""
        if self.follower is not None and self.primary_address == address:
            return
        self.stop_following()
        self.primary_address = address
        self.primary_contact_at_s = time.monotonic()
        self.follower = asyncio.create_task(self.replicate(address))

    async def replicate(self, address: str) -> None:
        """Receive entries from the primary; reconnect when the connection ends."""
        while True:
            with contextlib.suppress(OSError, ConnectionClosed, TimeoutError):
                async with connect(
                    f"ws://{address}/replication",
                    max_size=MAX_MESSAGE_BYTES,
                    open_timeout=1,
                    compression=None,
                ) as socket:
                    await self.receive(socket)
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def receive(self, socket) -> None:
        """Append the entries that the primary sends."""
        database, log = self.database, self.database.log
        await socket.send(json.dumps([log.fence_term, log.segments]))
        async for frame in socket:
            if "replication" in self.blocked_paths:
                continue
            message = json.loads(frame)
            if message["term"] < log.fence_term:
                return
            log.accept_term(message["term"])
            self.primary_contact_at_s = time.monotonic()
            if "truncate" in message:
                database.rewind(message["truncate"])
            for entry in message["entries"]:
                log.append(Entry(*entry))
            if message["entries"]:
                self.notify()
                asyncio.get_running_loop().call_later(
                    self.lag_s, self.apply, log.log_term, log.received
                )

    def apply(self, term: int, position: int) -> None:
        """Make received entries visible after the lag."""
        if self.database.log.log_term >= term:
            self.database.apply(position)
            self.notify()

    async def serve_replication(self, socket: ServerConnection) -> None:
        """Send entries to one replica, and heartbeats while there are none."""
        database, log = self.database, self.database.log
        term, segments = json.loads(await socket.recv())
        if database.role is not Role.PRIMARY or term > log.log_term:
            return
        sent_up_to = log.common_prefix([Segment(*segment) for segment in segments])
        truncation = {"truncate": sent_up_to}
        while database.role is Role.PRIMARY:
            changed = self.changed
            message = {
                "term": log.log_term,
                "entries": log.entries[sent_up_to:],
                **truncation,
            }
            sent_up_to, truncation = log.received, {}
            if "replication" not in self.blocked_paths:
                await asyncio.sleep(self.network_s)
                await socket.send(json.dumps(message))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                    if sent_up_to == log.received:
                        await changed.wait()

    # Faults and statement history for tests.

    async def serve_admin(self, socket: ServerConnection) -> None:
        """Change the injected faults and return the statement history."""
        async for frame in socket:
            request = json.loads(frame)
            for name in ("lag_s", "statement_s", "network_s", "connections"):
                if name in request:
                    setattr(self, name, request[name])
            if "cut" in request:
                self.blocked_paths = set(request["cut"])
                self.notify()
                for other in list(self.sockets):
                    if other.kind in self.blocked_paths:
                        other.transport.abort()
            await socket.send(
                json.dumps(
                    {
                        "history": list(self.database.history)
                        if request.get("history")
                        else [],
                        "open_connections": self.open_connections,
                        "most_connections": self.max_open_connections,
                        "report": json.loads(self.report()),
                    }
                )
            )


async def run_server(server: EndpointServer, host: str, port: int) -> None:
    """Serve until the process ends."""
    async with serve(
        server.handle,
        host,
        port,
        max_size=MAX_MESSAGE_BYTES,
        compression=None,
        ping_interval=None,
    ):
        await asyncio.Event().wait()


def main(
    name: str,
    port: int,
    host: str = "127.0.0.1",
    slots: int = 5,
    connections: int = 30,
    connect_ms: float = 10.0,
    statement_ms: float = 1.0,
    lag_ms: float = 50.0,
    network_ms: float = 0.0,
    data: str = "",
) -> None:
    """Run one endpoint stand-in.

    Parameters
    ----------
    name : str
        Name of the endpoint.
    port : int
        Port to listen on.
    host : str
        Address to listen on.
    slots, connections : int
        Maximum numbers of concurrent statements and of open connections.
    connect_ms, statement_ms, lag_ms, network_ms : float
        Times in milliseconds; see ``EndpointServer``.
    data : str
        File that stores the log; if empty, the log is in memory only.
    """

    async def run() -> None:
        log = ReplicatedLog(path=Path(data) if data else None)
        database = Database(name=name, log=log)
        database.apply(log.received)
        server = EndpointServer(
            database=database,
            slots=slots,
            connections=connections,
            connect_s=connect_ms / 1000,
            statement_s=statement_ms / 1000,
            lag_s=lag_ms / 1000,
            network_s=network_ms / 1000,
        )
        await run_server(server, host, port)

    uvloop.run(run())


if __name__ == "__main__":
    fire.Fire(main)
