"""Callers of a soak test whose texts are drawn from all bytes."""

from soak.clients import SoakClient, query
from soak.statements import RecordedClient
from standins.platform import route_suffix

# Bytes and texts that a reader is likely to split at, strip or fail to decode.
ODD_PIECES = [
    *"\r\n\0\t \x0b\x0c\x1c\x85\xa0\xff",
    "  ",
    "\xc3\xa9",
    "\xe2\x82",
    "\nQUERY smuggled WRITE smuggled 1",
    "\nROW 1\nCOMPLETE s1\nREADY I 1.1",
    "\rROLLBACK\r",
    "plain",
]
# The daemon may use some of these names itself.
NAMES = ["s1", "s2", "p0", "p1", "s\xa0", "s\n1"]
ROUTES = ["pay", "book", "gallery"]
MAX_STATEMENTS = 4
# Number of the last written items that a caller reads.
MAX_ITEMS = 9


class OddTextClient(SoakClient):
    """Caller with odd session values, shapes, items and data.

    It uses transactions, prepared names that others use too, and leaves at any point.
    """

    def __init__(self, **options) -> None:
        super().__init__(**options)
        self.items: list[str] = []

    async def _run_session(self, client: RecordedClient) -> None:
        route = self.random.choice(ROUTES)
        greeting = await client.start(route + route_suffix(self.service))
        if not greeting.startswith("READY"):
            return
        for _ in range(self.random.randint(1, 15)):
            draw = self.random.random()
            if self.is_stopping:
                return
            if draw < 0.35:
                is_done = await self._change_session(client, draw)
            elif draw < 0.65:
                is_done = await self._run_transaction(client)
            else:
                is_done = await self._ask(client, self._statement(client)) is not None
            if not is_done:
                return

    async def _ask(self, client: RecordedClient, text: str) -> str | None:
        """Send a text without CR LF; return the state, None after an error."""
        while "\r\n" in text:
            text = text.replace("\r\n", "\n\r")
        lines = await query(client, text)
        word, _, rest = lines[0].partition(" ")
        code = rest.partition(" ")[0] if word == "ERROR" else "successes"
        self.history.counts[f"odd {code}"] += 1
        return None if word == "ERROR" else lines[-1].split(" ")[1]

    async def _change_session(self, client: RecordedClient, draw: float) -> bool:
        """Change the session; False after an error, which ends the session."""
        if draw < 0.15:
            text = f"SET {self.random.choice(['zone', 'v'])} {self._odd_text()}"
        elif draw < 0.3 or not client.prepared:
            mode = self.random.choice(["READ", "WRITE"])
            name = self.random.choice(NAMES)
            # The name is free if the caller prepares no other shape under it.
            if name in client.prepared:
                return await self._ask(client, f"DEALLOCATE {name}") is not None
            text = f"PREPARE {name} {mode} {self._odd_text() or 'q'}"
        else:
            text = f"DEALLOCATE {self.random.choice(list(client.prepared))}"
        return await self._ask(client, text) is not None

    async def _run_transaction(self, client: RecordedClient) -> bool:
        """Run a transaction; False if the session ends in it."""
        begin = self.random.choice(["BEGIN", "BEGIN", "BEGIN READ"])
        if await self._ask(client, begin) != "T":
            return False
        for _ in range(self.random.randint(0, MAX_STATEMENTS)):
            draw = self.random.random()
            text = self._statement(client, is_read=begin == "BEGIN READ")
            if draw < 0.1:
                text = f"SET v {self._odd_text()}"
            if draw > 0.95 or await self._ask(client, text) != "T":
                return False
        end = self.random.choice(["COMMIT", "COMMIT", "COMMIT", "ROLLBACK"])
        return await self._ask(client, end) == "I"

    def _statement(self, client: RecordedClient, *, is_read: bool = False) -> str:
        """Return a read, a write, or one of a prepared statement."""
        names = [n for n, p in client.prepared.items() if p[0] == "READ" or not is_read]
        # No two writes are the same, so that one that took effect twice is found.
        self.value += 1
        item = f"{self.name}.{self.value}{self._odd_text()}".replace(" ", "")
        data = f"{self._odd_text()}{self.value}{self._odd_text()}"
        if names and self.random.random() < 0.5:
            name = self.random.choice(names)
            return f"EXECUTE {name} {item}" + self.random.choice(["", " ", f" {data}"])
        if is_read or self.random.random() < 0.4:
            item = self.random.choice([item, *self.items])
            return f"READ {item}" + self.random.choice(["", " "])
        self.items = [*self.items, item][-MAX_ITEMS:]
        return f"WRITE {item} {data}"

    def _odd_text(self) -> str:
        """Return a short text, one character for each byte."""
        pieces = [
            self.random.choice([*ODD_PIECES, chr(self.random.randrange(256))])
            for _ in range(self.random.randint(0, 3))
        ]
        return "".join(pieces)
