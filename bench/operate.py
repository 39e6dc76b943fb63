"""Submission of operators' edits during a measurement."""

import uuid

import msgspec

from bench.load import LoadClient
from standins.deployment import OPERATOR_KEY, Vm


class EditResult(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a submitted edit; ``version`` is 0 if it was refused."""

    version: int = 0
    confirmed: list[str] = []
    unconfirmed: list[str] = []
    error: dict = {}


async def submit_edit(
    client: LoadClient, vm: Vm, *, edit: str, **fields: object
) -> EditResult:
    """Submit one small edit through a VM's operator address.

    Raises
    ------
    RuntimeError
        If the edit was refused.
    """
    body = {
        "edit": {"edit": edit, **fields},
        "submission_id": uuid.uuid4().hex,
        "force": True,
    }
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    url = f"http://{vm.operator}/v1/configuration/edits"
    async with client.http.post(url, json=body, headers=headers) as response:
        result = msgspec.json.decode(await response.read(), type=EditResult)
    if not result.version:
        raise RuntimeError(f"edit {edit} was refused: {result.error}")
    return result
