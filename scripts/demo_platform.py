"""Demonstration of the session daemon on stand-ins of the users' platform."""

import asyncio
import logging
import tempfile
from pathlib import Path

from soak.fleet import SoakFleet
from standins.statement_client import StatementClient

START_TIMEOUT_S = 30.0
MAX_WRITE_ATTEMPTS = 50
RETRY_DELAY_S = 0.3
PRIMARY = "i-0"


async def connect(address: str, database: str) -> StatementClient:
    """Start a session; retry while the daemon is starting."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            try:
                client = await StatementClient.connect(address, database)
                if client.greeting.startswith("READY"):
                    return client
                client.close()
            except OSError:
                pass
            await asyncio.sleep(0.2)


async def query(client: StatementClient, text: str) -> str:
    """Run a statement; print its answer and return the first line."""
    lines = await client.query(text)
    print(f"   {text:24} -> {' | '.join(lines)}")
    return lines[0]


async def write(client: StatementClient, value: str) -> None:
    """Retry a write until it is committed; print each refusal."""
    for _ in range(MAX_WRITE_ATTEMPTS):
        if (await query(client, f"WRITE pitch {value}")).startswith("COMPLETE"):
            return
        await asyncio.sleep(RETRY_DELAY_S)
    raise SystemExit("the write was not committed")


async def show() -> None:
    """Start the stand-ins and three daemons, and run the demonstration."""
    fleet = SoakFleet(folder=Path(tempfile.mkdtemp(prefix="demo-")), size=3)
    await fleet.start()
    try:
        first = await connect(fleet.vms[0].address, "book")
        second = await connect(fleet.vms[1].address, "pay")
        print("== A session writes through one VM; another VM reads it.")
        await write(first, "reserved")
        await query(second, "READ pitch")
        print("== A transaction runs on one connection, with the session's values.")
        for text in ("SET zone west", "BEGIN", "WRITE pitch paid", "COMMIT"):
            await query(second, text)
        print("== The primary crashes; a replica with every commit takes over.")
        await fleet.platform.service.databases[PRIMARY].stop()
        await write(second, "moved")
        print(f"   promotions (endpoint, token): {fleet.platform.service.promotions}")
        await query(first, "READ pitch")
    finally:
        await StatementClient.close_all()
        await fleet.stop()


if __name__ == "__main__":
    logging.disable(logging.WARNING)
    asyncio.run(show())
