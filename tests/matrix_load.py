"""Callers of the fault matrix, in virtual time."""

import asyncio
from random import Random

from ebonyladder.gateway import CallerStatement, CallerStep, CallerTransaction
from ebonyladder.kernel.error import EbonyladderError
from ebonyladder.kernel.step import Step
from ebonyladder.messages import TransactionAction
from ebonyladder.types import RequestKind
from standins.records import NOT_RUN, UNKNOWN, Call
from tests.matrix_world import KEYS, VMS, World

DEADLINE_MS = 2_000
ANSWER_TIMEOUT_S = 10.0
THINK_S = 0.05


class Caller:
    """One session that sends to random VMs and records its calls."""

    def __init__(self, *, world: World, organisation: str, name: str) -> None:
        self.world = world
        self.organisation = organisation
        self.name = f"{organisation}.{name}"
        self.random = Random(f"{world.seed} {self.name}")
        self.calls: list[Call] = []
        self.token = ""
        self.number = 0
        self.is_stopping = False

    async def run(self) -> None:
        while not self.is_stopping:
            action = self.random.choice(
                (self.write, self.write, self.read, self.write_two_rows)
            )
            await action(self.random.choice(VMS))
            await asyncio.sleep(self.random.uniform(0, 2 * THINK_S))

    def _next_value(self) -> tuple[str, str]:
        self.number += 1
        key = f"{self.name}.k{self.random.randrange(2)}"
        return key, f"{key}={self.number}"

    async def write(self, vm: str):
        key, value = self._next_value()
        return await self._statement(vm, "write", f"PUT {key} {value}", key, value)

    async def read(self, vm: str):
        key = f"{self.name}.k{self.random.randrange(2)}"
        return await self._statement(vm, "read", f"GET {key}", key)

    async def _statement(self, vm: str, kind: str, text: str, key: str, value=""):
        request = CallerStatement(
            kind=RequestKind(kind),
            statement=text,
            partition="p",
            session=self.token,
            deadline_ms=DEADLINE_MS,
        )

        def serve(gateway, name):
            return gateway.run_statement(self._key, "ledger", request, name)

        return await self._call(vm, serve, kind=kind, key=key, value=value)

    async def write_two_rows(self, vm: str) -> None:
        """Write two rows in one transaction."""
        label = f"{self.name}-t{self.number}"
        request = CallerTransaction(
            partition="p", session=self.token, deadline_ms=DEADLINE_MS
        )

        def begin(gateway, name):
            return gateway.begin(self._key, "ledger", request, name)

        opened = await self._call(vm, begin, kind="begin", transaction=label)
        if opened is None:
            return
        for row in ("k0", "k1"):
            self.number += 1
            key = f"{self.name}.{row}"
            value = f"{key}={self.number}"
            fields = {"key": key, "value": value, "transaction": label}
            step = CallerStep(
                kind=RequestKind.WRITE,
                statement=f"PUT {key} {value}",
                session=self.token,
                deadline_ms=DEADLINE_MS,
            )
            action = TransactionAction.EXECUTE
            if not await self._step(vm, opened, action, step, "statement", **fields):
                return
        end = self.random.choice((TransactionAction.COMMIT, TransactionAction.ROLLBACK))
        step = CallerStep(session=self.token, deadline_ms=DEADLINE_MS)
        await self._step(vm, opened, end, step, end.value, transaction=label)

    async def _step(self, vm, opened, action, step, kind: str, **fields: str):
        def serve(gateway, name):
            return gateway.run_step(self._key, opened.transaction, action, step, name)

        return await self._call(vm, serve, kind=kind, **fields)

    @property
    def _key(self) -> str:
        return KEYS[self.organisation]

    async def _call(self, name: str, serve, **fields: str):
        """Send one request to a VM; return the answer, or None without one."""
        clock, vm = self.world.clock, self.world.vms[name]
        sent_at_s = clock.now_s()
        answer, code, outcome, step = None, "", "", ""
        if not vm.is_up:
            code, outcome = "not-connected", NOT_RUN
            await asyncio.sleep(THINK_S)
        else:

            async def accept_and_serve():
                await vm.reach_step(Step.CALLER_ACCEPT)
                return await serve(vm.gateway, vm.gateway.new_request_id())

            task = vm.spawn(accept_and_serve())
            vm.calls.add(task)
            task.add_done_callback(vm.calls.discard)
            await asyncio.wait({task}, timeout=ANSWER_TIMEOUT_S)
            if not task.done() or task.cancelled():
                code, outcome = "no-answer", UNKNOWN
            elif isinstance(task.exception(), EbonyladderError):
                error = task.exception()
                code, outcome = error.code.value.code, error.outcome.value
                step = error.step.value
            elif task.exception() is not None:
                code, outcome = f"untyped {task.exception()!r}", UNKNOWN
            else:
                answer = task.result()
                self.token = answer.session
        if answer is not None and fields["kind"] == "read":
            fields["value"] = answer.rows[0] or ""
        self.calls.append(
            Call(
                session=self.name,
                organisation=self.organisation,
                sent_at_s=sent_at_s,
                answered_at_s=clock.now_s(),
                vm=name,
                code=code,
                outcome=outcome,
                step=step,
                endpoint=answer.endpoint if answer else "",
                term=answer.term if answer else 0,
                position=answer.position if answer else 0,
                rows=len(answer.rows) if answer else 0,
                **fields,
            )
        )
        return answer
