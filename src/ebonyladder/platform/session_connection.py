"""Connection of one caller that uses the statement protocol."""

import asyncio
import contextlib
import time
from enum import Enum

import msgspec
from absl import logging

from ebonyladder.kernel.clock import Clock
from ebonyladder.metrics import Metrics
from ebonyladder.platform.lines import LINE_END, LineError, LineReader
from ebonyladder.platform.wire import (
    Malformed,
    Startup,
    Terminate,
    WireError,
    decode_message,
    encode_answer,
    encode_error,
    encode_name,
)
from ebonyladder.sessions.accepted_requests import AcceptedRequests
from ebonyladder.sessions.catalog import CallerKey, DatabaseName
from ebonyladder.sessions.cluster_view import ClusterView
from ebonyladder.sessions.command import (
    Answer,
    AnswerCode,
    Command,
    CommandKind,
    TransactionState,
    refusal,
)
from ebonyladder.sessions.plugins.sessions import SessionFactory
from ebonyladder.sessions.session import Session, authorize

# Timeout for a caller's first line; callers give up two seconds after it.
STARTUP_TIMEOUT_S = 10.0
# After a greeting or a change of its session, a caller is about to send a command;
# in seconds.
NEXT_COMMAND_TIMEOUT_S = 0.5
SESSION_CHANGES = (CommandKind.SET, CommandKind.PREPARE, CommandKind.DEALLOCATE)


class IdleStep(Enum):
    """What happens to a connection on which no byte of a command has arrived."""

    WAIT = "wait"
    ABORT_TRANSACTION = "abort-transaction"
    CLOSE = "close"


class SessionConnection:
    """Connection of one caller, served by one task.

    Only this task closes the connection, and only between two commands: a command of
    which a byte has been read is answered first.

    Parameters
    ----------
    session_factory : SessionFactory
        Opens the session.
    accepted : AcceptedRequests
        Holds the schedule of a drain.
    cluster : ClusterView
        Cluster view with the active configuration.
    metrics : Metrics
        Counters and histograms of this daemon.
    clock : Clock
        Clock of the drain.
    reader, writer : LineReader, asyncio.StreamWriter
        Streams of the connection.

    Attributes
    ----------
    is_closing : bool
        Whether the connection is closed after the present operation.
    answered_at_s : float
        Time of the last answer, but for changes of the session.
    command_expected_until_s : float
        Time until which a drain doesn't close the session, since the caller has opened
        or changed it for a command that follows.
    """

    def __init__(
        self,
        *,
        session_factory: SessionFactory,
        accepted: AcceptedRequests,
        cluster: ClusterView,
        metrics: Metrics,
        clock: Clock,
        reader: LineReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.session_factory = session_factory
        self.accepted = accepted
        self.cluster = cluster
        self.metrics = metrics
        self.clock = clock
        self.reader = reader
        self.writer = writer
        self.session: Session | None = None
        self.is_busy = False
        self.is_closing = False
        self.answered_at_s = float("-inf")
        self.command_expected_until_s = float("-inf")

    async def serve(self) -> None:
        """Serve the caller until either side closes the connection."""
        try:
            async with asyncio.timeout(STARTUP_TIMEOUT_S):
                line = await self._next_line()
            if line is not None:
                await self._serve_session(line)
        except (LineError, WireError) as error:
            # The protocol has no answer to what isn't a message.
            self._log_invalid(error)
        except (OSError, TimeoutError) as error:
            logging.info("[front] Connection ended. error=%r", error)
        except Exception as error:
            logging.exception(
                "[front] Connection failed unexpectedly. session=%s", self.session_id
            )
            code = AnswerCode.TIMEOUT if self.session else AnswerCode.OVERLOADED
            await self._refuse_message(code, f"unexpected error: {error!r}")
        finally:
            await self._close()

    def _log_invalid(self, error: Exception) -> None:
        logging.info(
            "[front] Invalid message, closing the connection. session=%s error=%s",
            self.session_id,
            error,
        )

    async def _refuse_message(self, code: AnswerCode, detail: str) -> None:
        """Tell why the connection is closed; what was received isn't a command."""
        with contextlib.suppress(OSError):
            await self._send(encode_error(refusal(code, detail)) + LINE_END)

    async def _close(self) -> None:
        """Close the session, and the connection once its last byte is sent."""
        try:
            if self.session is not None:
                await self.session.close()
        except Exception:
            logging.exception(
                "[front] Session could not be closed. session=%s", self.session_id
            )
        finally:
            self.writer.close()
            with contextlib.suppress(OSError):
                await self.writer.wait_closed()

    async def _serve_session(self, line: bytes) -> None:
        message = decode_message(line)
        if not isinstance(message, Startup):
            raise WireError("the first message isn't STARTUP")
        opened = self.session_factory.open(
            DatabaseName(message.database), CallerKey(message.caller)
        )
        if isinstance(opened, Answer):
            self.metrics.count("refused_sessions", code=opened.code.value)
            await self._send(encode_error(self._spell_names(opened)) + LINE_END)
            return
        self.session = opened
        await self._send(b"READY I -" + LINE_END)
        self._expect_command()
        while (line := await self._next_line()) is not None:
            self.is_busy = True
            try:
                message = decode_message(line)
                if isinstance(message, Terminate):
                    return
                await self._send(await self._answer(opened, message))
            finally:
                self.is_busy = False
            if opened.must_close and not self.reader.has_data:
                return
            if isinstance(message, Command) and message.kind in SESSION_CHANGES:
                self._expect_command()
            else:
                self.answered_at_s = self.clock.now_s()
                self.command_expected_until_s = float("-inf")

    async def _next_line(self) -> bytes | None:
        """Return the next line, None once the connection ends between two commands."""
        idle_since_s = asyncio.get_running_loop().time()
        while not self.reader.may_read:
            if self.reader.has_data:
                if self._must_end:
                    # A stop of the VM can't wait for the rest of the line.
                    state = self.session.state if self.session else None
                    await self._refuse_partial_line(state)
                    return None
            else:
                step = self._idle_step()
                if step is IdleStep.CLOSE:
                    self._log_close()
                    return None
                if step is IdleStep.ABORT_TRANSACTION:
                    await self.session.abort_transaction("the VM is stopping")
                    continue
            try:
                async with asyncio.timeout_at(self._idle_end_s(idle_since_s)):
                    await self.reader.wait()
            except TimeoutError:
                await self.session.abort_transaction(
                    "the transaction was idle too long"
                )
        return await self.reader.read_line()

    def _log_close(self) -> None:
        if not self._has_lost_access():
            return
        logging.info(
            "[front] Closing a session that lost access. session=%s config=%d",
            self.session.id,
            self.cluster.version,
        )

    async def _refuse_partial_line(self, state: TransactionState | None) -> None:
        answer = refusal(AnswerCode.OVERLOADED, "the VM is stopping")
        if state is None:
            await self._send(encode_error(answer) + LINE_END)
        else:
            await self._send(encode_answer(answer.with_state(state)))

    def _idle_end_s(self, idle_since_s: float) -> float | None:
        """Return the time at which an idle transaction is aborted, None for never."""
        if self.session is None or self.session.state is not TransactionState.OPEN:
            return None
        catalog = self.cluster.catalog
        timeout_s = catalog.transaction_idle_s if catalog else STARTUP_TIMEOUT_S
        return idle_since_s + timeout_s

    def _idle_step(self) -> IdleStep:
        """Return what happens now, as no byte of a command has arrived.

        The next command of a transaction that lost access is refused instead, since a
        close would be no answer to its operation.
        """
        drain, now_s = self.accepted.drain, self.clock.now_s()
        if self._must_end:
            return IdleStep.CLOSE
        transaction = self.session.transaction if self.session else None
        if transaction is not None:
            is_aborted = (
                drain is not None
                and transaction.failure is None
                and drain.aborts_transaction(transaction.begun_at_s, now_s)
            )
            return IdleStep.ABORT_TRANSACTION if is_aborted else IdleStep.WAIT
        is_closed_by_drain = (
            drain is not None
            and self.session is not None
            and drain.closes_session(self.answered_at_s, now_s)
            and now_s >= self.command_expected_until_s
        )
        must_close = self.is_closing or is_closed_by_drain or self._has_lost_access()
        return IdleStep.CLOSE if must_close else IdleStep.WAIT

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the caller hasn't taken yet."""
        return self.writer.transport.get_write_buffer_size()

    @property
    def session_id(self) -> str:
        """Id of the session in logs."""
        return self.session.id if self.session else "-"

    @property
    def request_id(self) -> str:
        """Id of the command that is running."""
        request = self.session.request if self.session else None
        return request.command.id if request else "-"

    @property
    def _must_end(self) -> bool:
        """Whether the VM stops before another command could be answered."""
        drain = self.accepted.drain
        return drain is not None and drain.ends_requests(self.clock.now_s())

    def _expect_command(self) -> None:
        self.command_expected_until_s = self.clock.now_s() + NEXT_COMMAND_TIMEOUT_S

    async def _answer(
        self, session: Session, message: Startup | Command | Malformed
    ) -> bytes:
        """Return the encoded answer to a message, whatever happens to it."""
        started_at_s = time.monotonic()
        try:
            answer = await self._handle(session, message)
            data = encode_answer(answer)
        except WireError:
            raise
        except Exception as error:
            # The command may have run, so nothing is promised.
            logging.exception(
                "[front] Command has no answer. request=%s session=%s",
                message.id,
                session.id,
            )
            answer = refusal(
                AnswerCode.TIMEOUT, f"unexpected error: {error!r}", state=session.state
            )
            data = encode_answer(answer)
        if isinstance(message, Command):
            self._observe(session, message, answer, time.monotonic() - started_at_s)
        return data

    def _observe(
        self, session: Session, command: Command, answer: Answer, seconds: float
    ) -> None:
        try:
            self.metrics.observe_request(
                organisation=session.organisation_name,
                request_class=command.kind.value,
                outcome=answer.code.value if answer.code else "ok",
                seconds=seconds,
            )
        except Exception:
            logging.exception("[front] Request isn't counted. request=%s", command.id)

    async def _handle(
        self, session: Session, message: Startup | Command | Malformed
    ) -> Answer:
        if isinstance(message, Malformed):
            return refusal(AnswerCode.MALFORMED, message.problem, state=session.state)
        if isinstance(message, Startup):
            raise WireError("STARTUP was already sent")
        answer = await session.handle(message)
        # Only a session that lost access must close.
        return self._spell_names(answer) if session.must_close else answer

    @staticmethod
    def _spell_names(refusal: Answer) -> Answer:
        """Return a refusal of access with the caller's own spelling of names."""
        return msgspec.structs.replace(refusal, detail=encode_name(refusal.detail))

    async def _send(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    def check(self) -> None:
        """Let the connection's task look at what has changed, if it has to act."""
        is_due = self._must_end or (
            not self.reader.has_data and self._idle_step() is not IdleStep.WAIT
        )
        if is_due:
            self.reader.interrupt()

    def close_when_idle(self) -> None:
        """Close the connection once no command or transaction is in progress on it."""
        self.is_closing = True
        self.reader.interrupt()

    def _has_lost_access(self) -> bool:
        """Tell whether the session's key was withdrawn or its route removed."""
        if self.session is None:
            return False
        access = authorize(self.cluster, self.session.database, self.session.key)
        return isinstance(access, Answer) and access.code in (
            AnswerCode.KEY_REFUSED,
            AnswerCode.NO_DATABASE,
        )
