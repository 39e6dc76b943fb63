"""Requests of an operator to a deployment."""

import json
import urllib.request
from typing import Any
from urllib.error import HTTPError

from standins.deployment import OPERATOR_KEY, Vm

CALL_TIMEOUT_S = 30.0


def operate(vm: Vm, path: str, body: dict[str, Any] | None = None) -> dict[str, Any]:
    """Send a request to one VM's operator API and return the answer.

    Raises
    ------
    RuntimeError
        If the request is refused.
    """
    request = urllib.request.Request(
        f"http://{vm.operator}{path}",
        data=None if body is None else json.dumps(body).encode(),
        headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
    )
    try:
        with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S) as answer:
            return json.load(answer)
    except HTTPError as error:
        raise RuntimeError(f"{vm.name} refused: {error.read().decode()}") from error


def submit(vm: Vm, text: str, name: str) -> dict[str, Any]:
    """Submit a configuration text that is based on the active version."""
    base = operate(vm, "/v1/configuration")["version"]
    body = {"text": text, "base_version": base, "submission_id": name, "force": False}
    return operate(vm, "/v1/configuration", body)
