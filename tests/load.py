"""Callers that read, write and run transactions until the load is stopped."""

import asyncio
import itertools

import aiohttp

from standins.deployment import Deployment

SERVED = 200
REQUEST_INTERVAL_S = 0.01
TRANSACTION_DURATION_S = 0.2
# Generous, so that waits on a slow machine don't fail.
DEADLINE_MS = 30_000


class Load:
    """Callers behind a load balancer that checks ``/healthz``.

    A request that is refused with ``draining`` is retried at another VM, as the
    platform's load balancer does; any other refusal counts as a failure.
    """

    def __init__(self, deployment: Deployment, *, callers: int = 4) -> None:
        self.deployment = deployment
        self.names = [f"caller-{number}" for number in range(callers)]
        self.failures: list[str] = []
        self.served = {"read": 0, "write": 0, "transaction": 0}
        self.by_endpoint: list[tuple[str, str]] = []
        self.is_stopping = False
        self.request_numbers = itertools.count()
        self.progress = asyncio.Event()
        self.healthy = list(deployment.vms)

    async def __aenter__(self) -> "Load":
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True)
        )
        self.tasks = [asyncio.create_task(self._call(name)) for name in self.names]
        self.tasks.append(asyncio.create_task(self._check_health()))
        return self

    async def __aexit__(self, *_exception: object) -> None:
        self.is_stopping = True
        await asyncio.gather(*self.tasks)
        await self.session.close()

    async def wait_until_served(self, more: int) -> None:
        """Wait until ``more`` further requests of each kind have been served."""
        targets = {kind: count + more for kind, count in self.served.items()}
        async with asyncio.timeout(60):
            while any(self.served[kind] < count for kind, count in targets.items()):
                self.progress.clear()
                await self.progress.wait()

    async def _check_health(self) -> None:
        while not self.is_stopping:
            healthy = []
            for vm in self.deployment.vms:
                try:
                    async with self.session.get(f"{vm.url}/healthz") as answer:
                        healthy += [vm] if answer.status == SERVED else []
                except aiohttp.ClientError:
                    continue
            self.healthy = healthy or self.healthy
            await asyncio.sleep(0.2)

    async def _call(self, name: str) -> None:
        session = ""
        for number in itertools.count():
            if self.is_stopping:
                return
            kind = ("write", "read", "transaction")[number % 3]
            run = self._transaction if kind == "transaction" else self._statement
            session = await run(kind, name, session)
            self.served[kind] += 1
            self.progress.set()
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _post(self, path: str, body: dict) -> dict:
        """Retry a request until a VM serves it; record failures that a caller sees."""
        headers = {"Authorization": "Bearer key-of-org-1"}
        body = {**body, "deadline_ms": DEADLINE_MS}
        for number in itertools.count():
            # All VMs in turn, since each VM prefers the replica of its own zone.
            vm = self.healthy[next(self.request_numbers) % len(self.healthy)]
            try:
                async with self.session.post(
                    vm.url + path, json=body, headers=headers
                ) as answer:
                    content = await answer.json()
            except aiohttp.ClientConnectorError:
                continue
            error = content.get("error")
            if error is None:
                return content
            if error["code"] != "draining" or number > 50:
                self.failures.append(f"{vm.name} {path} {body} {error}")
                return {"session": body.get("session", ""), "rows": []}
        raise AssertionError("unreachable: the loop returns")

    async def _statement(self, kind: str, name: str, session: str) -> str:
        text = f"PUT {name} 1" if kind == "write" else f"GET {name}"
        body = {"kind": kind, "statement": text, "partition": name, "session": session}
        service = self.deployment.site.service
        answer = await self._post(f"/v1/services/{service}/statements", body)
        self.by_endpoint.append((kind, answer.get("endpoint", "")))
        return answer["session"]

    async def _transaction(self, _kind: str, name: str, session: str) -> str:
        opened = await self.open_transaction(name, session)
        if "transaction" not in opened:
            return session
        await asyncio.sleep(TRANSACTION_DURATION_S)
        return await self.commit(opened)

    async def open_transaction(self, name: str = "caller", session: str = "") -> dict:
        """Begin a transaction and run a write in it."""
        service = self.deployment.site.service
        opened = await self._post(
            f"/v1/services/{service}/transactions",
            {"partition": name, "session": session},
        )
        if "transaction" in opened:
            await self._post(
                f"/v1/transactions/{opened['transaction']}/statements",
                {"kind": "write", "statement": f"PUT {name} 1", "session": session},
            )
        return opened

    async def commit(self, opened: dict) -> str:
        """Commit a transaction and return the session."""
        path = f"/v1/transactions/{opened['transaction']}/commit"
        return (await self._post(path, {"session": opened["session"]}))["session"]
