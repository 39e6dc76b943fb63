"""HTTP client of the command line, for the operators' and callers' APIs."""

import asyncio
import json
import ssl
from enum import IntEnum
from typing import Any

import aiohttp
import msgspec

ANSWER_TIMEOUT_S = 90.0


class ExitCode(IntEnum):
    """Exit codes of the command line."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    NOT_CONFIRMED = 4
    UNREACHABLE = 5


class CommandError(Exception):
    """Failure of a command.

    Parameters
    ----------
    code : ExitCode
        Exit code of the process.
    message : str
        Text for the operator.
    data : dict
        Failure as JSON data.
    """

    def __init__(
        self, *, code: ExitCode, message: str, data: dict[str, Any] | None = None
    ) -> None:
        self.code = code
        self.message = message
        self.data = data or {"error": {"message": message}}
        super().__init__(message)


class ApiClient(msgspec.Struct, frozen=True, kw_only=True):
    """Client of one API of a daemon.

    Each call opens a connection of its own.

    Attributes
    ----------
    url, key : str
        Address and key of the API.
    authority : str
        CA file that verifies the API's certificate, for ``https://``; the
        system's CAs if it is empty.
    """

    url: str
    key: str
    authority: str = ""

    def call(
        self,
        method: str,
        path: str,
        *,
        body: dict[str, Any] | None = None,
        query: dict[str, str] | None = None,
    ) -> dict[str, Any]:
        """Send one request and return its answer.

        Raises
        ------
        CommandError
            UNREACHABLE without a valid answer, CONFLICT or REFUSED for an error.
        """
        return asyncio.run(self._call(method, path, body, query))

    def _tls(self) -> ssl.SSLContext | bool:
        """Return the context for ``https://``; raises USAGE for an invalid CA file."""
        if not self.authority:
            return True
        try:
            return ssl.create_default_context(cafile=self.authority)
        except (OSError, ssl.SSLError) as error:
            raise CommandError(
                code=ExitCode.USAGE, message=f"{self.authority}: {error}"
            ) from error

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        query: dict[str, str] | None,
    ) -> dict[str, Any]:
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
        headers = {"Authorization": f"Bearer {self.key}"}
        base = self.url if "://" in self.url else f"http://{self.url}"
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout, headers=headers) as session,
                session.request(
                    method,
                    base.rstrip("/") + path,
                    json=body,
                    params=query,
                    ssl=self._tls(),
                ) as response,
            ):
                answer = json.loads(await response.text())
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            reason = str(error) or type(error).__name__
            raise CommandError(
                code=ExitCode.UNREACHABLE,
                message=f"{base} returned no valid answer: {reason}",
            ) from error
        if not isinstance(answer, dict):
            raise CommandError(
                code=ExitCode.UNREACHABLE,
                message=f"{base} is not an ebonyladder daemon",
            )
        if "error" in answer:
            raise _error_of(answer)
        return answer


def _error_of(answer: dict[str, Any]) -> CommandError:
    error = answer["error"]
    is_conflict = error.get("code") == "store-conflict"
    return CommandError(
        code=ExitCode.CONFLICT if is_conflict else ExitCode.REFUSED,
        message=(
            f"{error.get('message')}\n(code={error.get('code')} "
            f"step={error.get('step')} peer={error.get('peer') or '-'} "
            f"outcome={error.get('outcome')})"
        ),
        data=answer,
    )
