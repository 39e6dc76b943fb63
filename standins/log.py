"""Replicated log of a database stand-in: entries, terms, votes and truncations."""

import json
from pathlib import Path
from typing import NamedTuple


class Entry(NamedTuple):
    """Committed change: the term in which it was written and the rows that it sets."""

    term: int
    rows: dict[str, object]


class Segment(NamedTuple):
    """Consecutive entries of one term, at the positions ``first`` to ``last``."""

    term: int
    first: int
    last: int


class ReplicatedLog:
    """Log of one database, stored in a file so that it survives a kill.

    Parameters
    ----------
    path : Path, optional
        File that stores entries, truncations and votes.
    """

    def __init__(self, *, path: Path | None = None) -> None:
        self.entries: list[Entry] = []
        self.segments: list[Segment] = []
        self.fence_term = 0
        self.promoter = ""
        self.file = None
        if path is not None:
            if path.exists():
                self._load(path)
            self.file = path.open("a", buffering=1)

    def _load(self, path: Path) -> None:
        for line in path.read_text().splitlines():
            try:
                kind, *values = json.loads(line)
            except ValueError:
                break
            if kind == "entry":
                self._extend(Entry(*values))
            elif kind == "truncate":
                self._truncate(values[0])
            else:
                self.fence_term, self.promoter = values

    def _persist(self, *record: object) -> None:
        if self.file is not None:
            self.file.write(json.dumps(record) + "\n")

    @property
    def received(self) -> int:
        """Last position."""
        return len(self.entries)

    @property
    def log_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else 0

    @property
    def term_start(self) -> int:
        """Position before the first entry of the last entry's term."""
        return self.segments[-1].first - 1 if self.segments else 0

    def append(self, entry: Entry) -> int:
        """Append an entry and return its position."""
        self._extend(entry)
        self._persist("entry", *entry)
        return len(self.entries)

    def _extend(self, entry: Entry) -> None:
        self.entries.append(entry)
        position = len(self.entries)
        if self.segments and self.segments[-1].term == entry.term:
            self.segments[-1] = self.segments[-1]._replace(last=position)
        else:
            self.segments.append(Segment(entry.term, position, position))

    def truncate(self, position: int) -> None:
        """Remove the entries after ``position``."""
        if position < len(self.entries):
            self._truncate(position)
            self._persist("truncate", position)

    def _truncate(self, position: int) -> None:
        del self.entries[position:]
        self.segments = [
            segment._replace(last=min(segment.last, position))
            for segment in self.segments
            if segment.first <= position
        ]

    def vote(self, term: int, promoter: str) -> bool:
        """Vote for a promoter, at most one in each term; False if it is refused."""
        if term < self.fence_term:
            return False
        if term == self.fence_term and promoter != self.promoter:
            return False
        self.fence_term, self.promoter = term, promoter
        self._persist("vote", term, promoter)
        return True

    def accept_term(self, term: int) -> None:
        """Accept a newer term without voting for a promoter in it."""
        if term > self.fence_term:
            self.fence_term, self.promoter = term, ""
            self._persist("vote", term, "")

    def common_prefix(self, other: list[Segment]) -> int:
        """Return the last position up to which both logs are equal.

        Entries of the same term at the same position are equal in all logs, and so
        are all entries before them.
        """
        ends = {segment.term: segment.last for segment in other}
        return max(
            (
                min(segment.last, ends[segment.term])
                for segment in self.segments
                if segment.term in ends
            ),
            default=0,
        )
