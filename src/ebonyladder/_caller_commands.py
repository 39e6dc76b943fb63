"""Commands of the command line that send requests to the callers' API."""

import json
import os
from collections.abc import Callable
from typing import Any

from fire.decorators import SetParseFn

from ebonyladder._operator_client import ApiClient, CommandError, ExitCode

READ_PREFIX = "read:"


class CallCommands:
    """Send statements to the callers' API of a daemon.

    Parameters
    ----------
    key : str
        Organisation's key; EBONYLADDER_KEY where it is empty.
    show : callable
        Function that prints a result, given as data and as text.
    """

    def __init__(
        self, *, key: str, show: Callable[[dict[str, Any], str], None]
    ) -> None:
        self._key = key or os.environ.get("EBONYLADDER_KEY", "")
        self._show = show

    def _client(self, daemon: str) -> ApiClient:
        url = daemon or os.environ.get("EBONYLADDER_DAEMON", "")
        if not url or not self._key:
            raise CommandError(
                code=ExitCode.USAGE,
                message="set --daemon and --key, or EBONYLADDER_DAEMON and "
                "EBONYLADDER_KEY",
            )
        return ApiClient(url=url, key=self._key)

    @SetParseFn(str, "statement", "service", "partition", "daemon", "session")
    def read(
        self,
        statement: str,
        service: str,
        partition: str,
        daemon: str = "",
        session: str = "",
        max_age_ms: int | None = None,
    ) -> None:
        """Run STATEMENT as a read."""
        body = {"kind": "read", "statement": statement, "partition": partition}
        if session:
            body["session"] = session
        if max_age_ms is not None:
            body["max_age_ms"] = max_age_ms
        self._statement(daemon, service, body)

    @SetParseFn(str, "statement", "service", "partition", "daemon", "session")
    def write(
        self,
        statement: str,
        service: str,
        partition: str,
        daemon: str = "",
        session: str = "",
        idempotent: bool = False,
    ) -> None:
        """Run STATEMENT as a write."""
        body: dict[str, Any] = {
            "kind": "write",
            "statement": statement,
            "partition": partition,
            "idempotent": idempotent,
        }
        if session:
            body["session"] = session
        self._statement(daemon, service, body)

    def _statement(self, daemon: str, service: str, body: dict[str, Any]) -> None:
        path = f"/v1/services/{service}/statements"
        answer = self._client(daemon).call("POST", path, body=body)
        self._show(answer, json.dumps(answer, indent=2))

    @SetParseFn(str)
    def transaction(
        self,
        *statements: str,
        service: str,
        partition: str,
        daemon: str = "",
        session: str = "",
    ) -> None:
        """Run STATEMENTS in one transaction; ``read:`` before one marks a read."""
        client = self._client(daemon)
        body = {"partition": partition}
        if session:
            body["session"] = session
        path = f"/v1/services/{service}/transactions"
        begin_answer = client.call("POST", path, body=body)
        path = f"/v1/transactions/{begin_answer['transaction']}"
        answers = []
        try:
            for statement in statements:
                is_read = statement.startswith(READ_PREFIX)
                body = {
                    "kind": "read" if is_read else "write",
                    "statement": statement.removeprefix(READ_PREFIX),
                    "partition": partition,
                }
                answers.append(client.call("POST", f"{path}/statements", body=body))
        except CommandError:
            self._roll_back(client, path)
            raise
        commit_answer = client.call("POST", f"{path}/commit", body={})
        data = {"statements": answers, "commit": commit_answer}
        self._show(data, json.dumps(data, indent=2))

    @staticmethod
    def _roll_back(client: ApiClient, path: str) -> None:
        try:
            client.call("POST", f"{path}/rollback", body={})
        except CommandError:
            # The daemon rolls the transaction back after its time limit.
            pass
