"""What clients saw, and the checks of it against what the databases ran."""

from collections import Counter
from dataclasses import dataclass, field

from standins.statement_database import DatabaseService


@dataclass
class History:
    """Acknowledged writes and the findings of a run.

    Each key has one writer, whose values grow, so that a read is stale exactly if
    it is below what was acknowledged before the read began.
    """

    acknowledged: dict[str, int] = field(default_factory=dict)
    attempted: dict[str, int] = field(default_factory=dict)
    promised_not_kept: set[str] = field(default_factory=set)
    findings: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    def check_read(self, route: str, key: str, seen: str, least: int) -> None:
        """Check a read that began when ``least`` was acknowledged."""
        value = int(seen or 0)
        if value < least:
            self.findings.append(f"stale read on {route}: {key}={value}, not {least}")
        if value > self.attempted.get(key, 0):
            self.findings.append(f"read of a value never written: {key}={value}")

    def check_end(self, service: DatabaseService) -> None:
        """Check the databases after the run."""
        primaries = [d for d in service.databases.values() if d.is_primary]
        if len(primaries) != 1:
            self.findings.append(f"{len(primaries)} primaries at the end")
            return
        data = primaries[0].data
        for key, value in self.acknowledged.items():
            if int(data.get(key, 0)) < value:
                self.findings.append(f"lost write: {key}={data.get(key)}, not {value}")
        commits = Counter(
            (key, value)
            for entry in primaries[0].log
            for key, value in entry.writes.items()
        )
        for (key, value), count in commits.items():
            if count > 1:
                self.findings.append(f"write took effect twice: {key}={value}")
            if f"{key}={value}" in self.promised_not_kept:
                self.findings.append(f"kept against a promise: {key}={value}")
        if any(run.organisation != "council" for run in service.runs):
            self.findings.append("a statement ran for another organisation")
        tokens = [token for _, token in service.promotions]
        if tokens != sorted(tokens):
            self.findings.append(f"fencing tokens went back: {tokens}")
