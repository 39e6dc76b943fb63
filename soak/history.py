"""Results that clients saw, and their checks against the state of the databases."""

from collections import Counter
from dataclasses import dataclass, field

from standins.statement_database import DatabaseService


@dataclass
class History:
    """Attempted and acknowledged writes, and the findings of a run.

    Each key has one writer, whose values increase. A read is therefore stale exactly
    if its value is below the one that was acknowledged before the read began.
    """

    acknowledged: dict[str, int] = field(default_factory=dict)
    attempted: dict[str, int] = field(default_factory=dict)
    reported_not_applied: set[str] = field(default_factory=set)
    findings: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    def check_read(self, route: str, key: str, seen: str, min_value: int) -> None:
        """Check a read that began after ``min_value`` was acknowledged."""
        value = int(seen or 0)
        if value < min_value:
            self.findings.append(
                f"stale read on {route}: {key}={value}, not {min_value}"
            )
        if value > self.attempted.get(key, 0):
            self.findings.append(f"read of a value never written: {key}={value}")

    def check_end(self, service: DatabaseService) -> None:
        """Check the state of the databases after the run."""
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
            if f"{key}={value}" in self.reported_not_applied:
                self.findings.append(
                    f"write took effect although refused: {key}={value}"
                )
        if any(statement.organisation != "council" for statement in service.executed):
            self.findings.append("a statement ran for another organisation")
        tokens = [token for _, token in service.promotions]
        if tokens != sorted(tokens):
            self.findings.append(f"fencing tokens decreased: {tokens}")
