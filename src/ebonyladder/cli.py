"""Command line for operators, and for test requests as a caller."""

import json as json_module
import os
import secrets
import sys
from pathlib import Path
from typing import Any

import fire
from fire.decorators import SetParseFn

from ebonyladder._caller_commands import CallCommands
from ebonyladder._operator_client import ApiClient, CommandError, ExitCode
from ebonyladder.keys import digest_of

KEY_BYTES = 32
SUBMISSION_ID_BYTES = 12
# Fire would take the argument after a flag without a value as its value.
BOOLEAN_FLAGS = ("--json", "--force", "--idempotent")
CONFIRM_WAIT_S = 5.0


class Console:
    """Output of the commands, and their client of the operators' API.

    Parameters
    ----------
    operator, key : str
        Address and key; taken from the environment if they are empty.
    json : bool
        Print one JSON object.
    """

    def __init__(self, *, operator: str, key: str, json: bool) -> None:
        self.key = key
        self.json = json
        self.operator = operator or os.environ.get("EBONYLADDER_OPERATOR", "")

    def client(self) -> ApiClient:
        """Return a client of the operators' API."""
        key = self.key or os.environ.get("EBONYLADDER_OPERATOR_KEY", "")
        if not self.operator or not key:
            raise CommandError(
                code=ExitCode.USAGE,
                message="set --operator and --key, or EBONYLADDER_OPERATOR and "
                "EBONYLADDER_OPERATOR_KEY",
            )
        authority = os.environ.get("EBONYLADDER_CA", "")
        return ApiClient(url=self.operator, key=key, authority=authority)

    def show(self, data: dict[str, Any], text: str) -> None:
        """Print a result, as JSON if ``--json`` is set."""
        print(json_module.dumps(data) if self.json else text)

    def show_accepted(self, answer: dict[str, Any], **extra: str) -> None:
        """Print the answer to a change; exit with NOT_CONFIRMED if VMs are missing."""
        confirmed, unconfirmed = answer["confirmed"], answer["unconfirmed"]
        text = (
            f"accepted as version {answer['version']}"
            if answer["changed"]
            else f"nothing to change in version {answer['version']}"
        )
        text += f", confirmed by {len(confirmed)} VMs ({', '.join(confirmed)})"
        if unconfirmed:
            text += (
                f"; not confirmed by {', '.join(unconfirmed)}: VMs that do not have it "
                f"take no work {answer['unconfirmed_stop_after_s']:g} s after the "
                "acceptance"
            )
        is_active = answer["is_in_force"]
        if not is_active:
            text += (
                "; not active yet: most relay roots have not applied it, so VMs may "
                "work with the previous version"
            )
        lines = [f"{name}: {value}" for name, value in extra.items()]
        self.show({**answer, **extra}, "\n".join([text, *lines]))
        if unconfirmed or not is_active:
            raise SystemExit(int(ExitCode.NOT_CONFIRMED))

    def edit(
        self, edit: dict[str, Any], *, force: bool, submission_id: str, **extra: str
    ) -> None:
        """Submit a small edit and print the answer."""
        body = {
            "edit": edit,
            "submission_id": submission_id or new_submission_id(),
            "force": force,
            "wait_s": CONFIRM_WAIT_S,
        }
        answer = self.change("/v1/configuration/edits", body)
        self.show_accepted(answer, **extra)

    def change(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Send a change; without an answer, name the submission id to repeat it."""
        try:
            return self.client().call("POST", path, body=body)
        except CommandError as error:
            if error.code is not ExitCode.UNREACHABLE:
                raise
            raise CommandError(
                code=error.code,
                message=f"{error.message}\nthe change may have taken effect; repeat it "
                f"with --submission_id={body['submission_id']}",
            ) from error

    def view(self, name: str, **query: str) -> None:
        """Print a named view."""
        answer = self.client().call("GET", f"/v1/views/{name}", query=query)
        self.show(answer, json_module.dumps(answer["data"], indent=2))


def new_submission_id() -> str:
    """Return a new submission id."""
    return secrets.token_hex(SUBMISSION_ID_BYTES)


def _read(file: str) -> str:
    try:
        return sys.stdin.read() if file == "-" else Path(file).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(code=ExitCode.USAGE, message=str(error)) from error


class ConfigCommands:
    """Check, submit, show and compare the configuration."""

    def __init__(self, *, console: Console) -> None:
        self._console = console

    @SetParseFn(str, "file")
    def check(self, file: str) -> None:
        """Check the text in FILE; ``-`` is the standard input."""
        path = "/v1/configuration/check"
        answer = self._console.client().call("POST", path, body={"text": _read(file)})
        self._console.show(answer, "the text is valid")

    @SetParseFn(str, "file", "submission_id")
    def submit(
        self, file: str, base_version: int, force: bool = False, submission_id: str = ""
    ) -> None:
        """Replace the text of version BASE_VERSION by the one in FILE."""
        body = {
            "text": _read(file),
            "base_version": base_version,
            "submission_id": submission_id or new_submission_id(),
            "force": force,
            "wait_s": CONFIRM_WAIT_S,
        }
        answer = self._console.change("/v1/configuration", body)
        self._console.show_accepted(answer)

    def show(self) -> None:
        """Print the current text; its version goes to the standard error."""
        answer = self._console.client().call("GET", "/v1/configuration")
        if not self._console.json:
            print(f"version {answer['version']}", file=sys.stderr)
        self._console.show(answer, answer["text"])

    @SetParseFn(str, "file")
    def diff(self, file: str) -> None:
        """Compare the current text with the one in FILE."""
        path = "/v1/configuration/diff"
        answer = self._console.client().call("POST", path, body={"text": _read(file)})
        no_difference = f"no difference from version {answer['version']}"
        self._console.show(answer, answer["diff"] or no_difference)


class KeyCommands:
    """Grant and withdraw organisations' keys."""

    def __init__(self, *, console: Console) -> None:
        self._console = console

    @SetParseFn(str, "organisation", "submission_id")
    def grant(self, organisation: str, submission_id: str = "") -> None:
        """Make a key for ORGANISATION, print it once and submit its digest."""
        key = secrets.token_urlsafe(KEY_BYTES)
        digest = digest_of(key)
        edit = {"edit": "grant-key", "organisation": organisation, "digest": digest}
        self._console.edit(
            edit, force=False, submission_id=submission_id, key=key, digest=digest
        )

    @SetParseFn(str, "digest", "submission_id")
    def withdraw(self, digest: str, submission_id: str = "") -> None:
        """Withdraw the key with the given SHA-256 digest."""
        edit = {"edit": "withdraw-key", "digest": digest}
        self._console.edit(edit, force=False, submission_id=submission_id)


class ZoneCommands:
    """Take zones out of service and return them."""

    def __init__(self, *, console: Console) -> None:
        self._console = console

    @SetParseFn(str, "zone", "submission_id")
    def out(self, zone: str, force: bool = False, submission_id: str = "") -> None:
        """Take ZONE out of service; --force skips the capacity check."""
        edit = {"edit": "zone", "zone": zone, "state": "out"}
        self._console.edit(edit, force=force, submission_id=submission_id)


def _zone_in(
    self: ZoneCommands, zone: str, force: bool = False, submission_id: str = ""
) -> None:
    """Return ZONE to service."""
    edit = {"edit": "zone", "zone": zone, "state": "in"}
    self._console.edit(edit, force=force, submission_id=submission_id)


# ``in`` is a keyword of Python, so a method of this name needs ``setattr``.
setattr(ZoneCommands, "in", SetParseFn(str, "zone", "submission_id")(_zone_in))


class DrainCommands:
    """Drain VMs and endpoints."""

    def __init__(self, *, console: Console) -> None:
        self._console = console

    @SetParseFn(str, "vm", "submission_id")
    def vm(self, vm: str, undo: bool = False, submission_id: str = "") -> None:
        """Drain VM; --undo makes it active again."""
        edit = {"edit": "vm", "vm": vm, "state": "active" if undo else "drain"}
        self._console.edit(edit, force=False, submission_id=submission_id)

    @SetParseFn(str, "endpoint", "submission_id")
    def endpoint(
        self,
        endpoint: str,
        undo: bool = False,
        force: bool = False,
        submission_id: str = "",
    ) -> None:
        """Drain ENDPOINT; --undo makes it active again."""
        state = "active" if undo else "leaving"
        edit = {"edit": "endpoint", "endpoint": endpoint, "state": state}
        self._console.edit(edit, force=force, submission_id=submission_id)


@SetParseFn(str, "operator", "key")
class Commands:
    """Operate ebonyladder.

    Parameters
    ----------
    operator : str
        Address of a daemon's operators' API, or EBONYLADDER_OPERATOR.
    key : str
        Key, or EBONYLADDER_OPERATOR_KEY (for ``call``: EBONYLADDER_KEY).
    json : bool
        Print one JSON object.
    """

    def __init__(
        self, *, operator: str = "", key: str = "", json: bool = False
    ) -> None:
        self._console = Console(operator=operator, key=key, json=json)
        self.config = ConfigCommands(console=self._console)
        self.key = KeyCommands(console=self._console)
        self.zone = ZoneCommands(console=self._console)
        self.drain = DrainCommands(console=self._console)
        self.call = CallCommands(key=key, show=self._console.show)

    def members(self) -> None:
        """Print the live VMs that the daemon knows."""
        self._console.view("members")

    def sessions(self) -> None:
        """Print the open transactions and WebSockets."""
        self._console.view("sessions")

    def shares(self) -> None:
        """Print the rate-limit leases and their tokens."""
        self._console.view("shares")

    def primaries(self) -> None:
        """Print the primary of each group."""
        self._console.view("primaries")

    @SetParseFn(str, "request_id")
    def explain(self, request_id: str) -> None:
        """Print the trace of a request."""
        self._console.view("explain", request_id=request_id)


def main(arguments: list[str] | None = None) -> None:
    """Run one command and exit with its code."""
    argv = sys.argv[1:] if arguments is None else arguments
    argv = [
        f"{argument}=True" if argument in BOOLEAN_FLAGS else argument
        for argument in argv
    ]
    try:
        fire.Fire(Commands, command=argv, name="ebonyladder")
    except CommandError as error:
        if "--json=True" in argv:
            print(json_module.dumps(error.data))
        else:
            print(error.message, file=sys.stderr)
        raise SystemExit(int(error.code)) from error


if __name__ == "__main__":
    main()
