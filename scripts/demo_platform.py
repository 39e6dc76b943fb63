"""Show the session daemon at work over stand-ins of the users' platform."""

import asyncio
import logging
import tempfile
from pathlib import Path

from soak.fleet import SoakFleet
from standins.platform import KEY

START_LIMIT_S = 30.0
TRIES = 50
PAUSE_S = 0.3
PRIMARY = "i-0"


class DemoSession:
    """Session that prints what it sends and gets."""

    def __init__(self, reader, writer) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address: str, database: str) -> "DemoSession":
        """Connect, trying again while the daemon starts."""
        host, port = address.split(":")
        async with asyncio.timeout(START_LIMIT_S):
            while True:
                try:
                    session = cls(*await asyncio.open_connection(host, int(port)))
                    session.writer.write(f"STARTUP {database} {KEY}\r\n".encode())
                    if (await session.line()).startswith("READY"):
                        return session
                except OSError:
                    pass
                await asyncio.sleep(0.2)

    async def line(self) -> str:
        """Return the next line."""
        return (await self.reader.readline()).decode().rstrip()

    async def query(self, text: str) -> str:
        """Run a statement; print and return the first line of its answer."""
        self.writer.write(f"QUERY demo {text}\r\n".encode())
        lines = []
        while not (lines and lines[-1].startswith("READY")):
            lines.append(await self.line())
        print(f"   {text:24} -> {' | '.join(lines)}")
        return lines[0]

    async def write(self, value: str) -> None:
        """Write until the write is taken; every refusal is printed."""
        for _ in range(TRIES):
            if (await self.query(f"WRITE pitch {value}")).startswith("COMPLETE"):
                return
            await asyncio.sleep(PAUSE_S)
        raise SystemExit("the write was not taken")


async def show() -> None:
    """Start three daemons and the stand-ins, and play the demonstration."""
    fleet = SoakFleet(folder=Path(tempfile.mkdtemp(prefix="demo-")), size=3)
    await fleet.start()
    try:
        first = await DemoSession.open(fleet.vms[0].address, "book")
        second = await DemoSession.open(fleet.vms[1].address, "pay")
        print("== A session writes through one VM; another VM reads it.")
        await first.write("reserved")
        await second.query("READ pitch")
        print("== A transaction runs on one connection, with the session's values.")
        for text in ("SET zone west", "BEGIN", "WRITE pitch paid", "COMMIT"):
            await second.query(text)
        print("== The primary crashes; a replica with every commit takes over.")
        await fleet.platform.service.databases[PRIMARY].stop()
        await second.write("moved")
        print(f"   promotions (endpoint, token): {fleet.platform.service.promotions}")
        await first.query("READ pitch")
    finally:
        await fleet.stop()


if __name__ == "__main__":
    logging.disable(logging.WARNING)
    asyncio.run(show())
