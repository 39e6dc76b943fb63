"""Results that clients saw, and their checks against the state of the databases."""

from collections import Counter
from dataclasses import dataclass, field

from soak.statements import SentStatement, StatementChecks
from standins.platform import Platform
from standins.statement_database import (
    Acknowledgement,
    Database,
    DatabaseService,
    Promotion,
)


@dataclass
class History:
    """Attempted and acknowledged writes, and the findings of a run.

    Each key has one writer, whose values increase. A read is therefore stale if its
    value is below the one that was acknowledged before the read began, unless the log
    has the lower value later: a write without an answer may run after the next ones.

    Attributes
    ----------
    older_reads : list of tuple
        Route, key, value and acknowledged value of reads of a lower value.
    sent : dict of str to SentStatement
        Statements of all callers by id.
    """

    acknowledged: dict[str, int] = field(default_factory=dict)
    acknowledged_items: set[tuple[str, str]] = field(default_factory=set)
    attempted: dict[str, int] = field(default_factory=dict)
    reported_not_applied: set[str] = field(default_factory=set)
    older_reads: list[tuple[str, str, int, int]] = field(default_factory=list)
    sent: dict[str, SentStatement] = field(default_factory=dict)
    findings: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    def record_acknowledged(self, key: str, value: int) -> None:
        """Record that a client got a success for a write."""
        self.acknowledged[key] = value
        self.acknowledged_items.add((key, str(value)))
        self.counts["writes"] += 1

    def writes_by_service(self) -> Counter[str]:
        """Return the number of acknowledged writes by the prefix of their keys."""
        return Counter(key.partition("-")[0] for key, _ in self.acknowledged_items)

    def check_read(self, route: str, key: str, seen: str, min_value: int) -> None:
        """Check a read that began after ``min_value`` was acknowledged."""
        if seen and not seen.isdecimal():
            self.findings.append(f"read of a value never written: {key}={seen!r}")
            return
        value = int(seen or 0)
        if value < min_value:
            self.older_reads.append((route, key, value, min_value))
        if value > self.attempted.get(key, 0):
            self.findings.append(f"read of a value never written: {key}={value}")

    def check_end(self, platform: Platform) -> None:
        """Check statements, older reads, the databases and each promotion."""
        checks = StatementChecks(sent=self.sent, services=platform.services)
        for rule, found in checks.findings().items():
            self.counts[rule] = len(found)
            if found:
                self.findings.insert(0, f"{rule}, {len(found)} times: {found[0]}")
        orders = [
            _log_order(d)
            for service in platform.services
            for d in service.databases.values()
            if d.is_primary
        ]
        for read in self.older_reads:
            self._check_older_read(*read, orders)
        for service in platform.services:
            self._check_service(service)
            self._check_promotions(service)
            tokens = [
                t for name, _, t in platform.promotion_calls if name == service.name
            ]
            if tokens != sorted(tokens):
                self.findings.append(
                    f"fencing tokens of {service.name} decreased: {tokens}"
                )
        holders: dict[int, set[str]] = {}
        for _, holder, token in platform.promotion_calls:
            holders.setdefault(token, set()).add(holder)
        for token, names in holders.items():
            if len(names) > 1:
                self.findings.append(f"fencing token {token} of {sorted(names)}")

    def _check_older_read(
        self,
        route: str,
        key: str,
        value: int,
        min_value: int,
        orders: list[dict[tuple[str, str], int]],
    ) -> None:
        """Check that a lower value was committed after the acknowledged one."""
        read, acknowledged = (key, str(value)), (key, str(min_value))
        if any(o.get(read, 0) > o.get(acknowledged, len(o)) for o in orders):
            self.counts["reads of late writes"] += 1
            return
        self.findings.append(f"stale read on {route}: {key}={value}, not {min_value}")

    def _check_promotions(self, service: DatabaseService) -> None:
        """Check that each promoted log held what databases had acknowledged before.

        What a replaced primary acknowledges after the next promotion took effect isn't
        in that log; of these commits no client may have been told.
        """
        reported: set[tuple[str, str]] = set()
        for promotion in service.effects:
            lost: dict[str, list[Acknowledgement]] = {}
            for index, commit in enumerate(service.acknowledgements):
                if (
                    commit.term >= promotion.term
                    or commit.item in promotion.commits
                    or commit.item in reported
                ):
                    continue
                if not _is_replaced(service, commit, index):
                    if index < promotion.acknowledged_count:
                        lost.setdefault(_loss(promotion, commit), []).append(commit)
                elif commit.item in self.acknowledged_items:
                    kind = "commits of a replaced primary that clients were told of"
                    lost.setdefault(kind, []).append(commit)
            for kind, commits in lost.items():
                reported |= {commit.item for commit in commits}
                self.findings.append(
                    f"{promotion.name} was promoted in term {promotion.term} without "
                    f"{len(commits)} {kind}: {_describe(promotion, commits[0])}"
                )

    def _check_service(self, service: DatabaseService) -> None:
        primaries = [d for d in service.databases.values() if d.is_primary]
        if len(primaries) != 1:
            self.findings.append(
                f"{len(primaries)} primaries of {service.name} at the end"
            )
            return
        data = primaries[0].data
        commits = Counter(
            item for entry in primaries[0].log for item in entry.writes.items()
        )
        written = {commit.item[0] for commit in service.acknowledgements}
        for key, value in self.acknowledged.items():
            if key in written and (key, str(value)) not in commits:
                self.findings.append(f"lost write: {key}={data.get(key)}, not {value}")
        for (key, value), count in commits.items():
            if count > 1:
                self.findings.append(f"write took effect twice: {key}={value!r}")
            if f"{key}={value}" in self.reported_not_applied:
                self.findings.append(
                    f"write took effect although refused: {key}={value}"
                )
        if any(statement.organisation != "council" for statement in service.executed):
            self.findings.append("a statement ran for another organisation")


def _log_order(database: Database) -> dict[tuple[str, str], int]:
    """Return the place of each commit in the log of a database."""
    items = (item for entry in database.log for item in entry.writes.items())
    return {item: index for index, item in enumerate(items)}


def _is_replaced(service: DatabaseService, commit: Acknowledgement, index: int) -> bool:
    """Tell whether a newer primary led when a commit was acknowledged."""
    return any(
        promotion.term > commit.term and promotion.acknowledged_count <= index
        for promotion in service.effects
    )


def _holders(promotion: Promotion, commit: Acknowledgement) -> set[str]:
    """Return the processes whose logs held a commit when a promotion took effect."""
    return {
        process
        for process, commits in promotion.commits_by_process.items()
        if commit.item in commits
    }


def _has_listed_replica(promotion: Promotion, commit: Acknowledgement) -> bool:
    """Tell whether a replica that had been listed received or held a commit."""
    replicas = commit.receivers | _holders(promotion, commit) - {commit.database}
    return bool(replicas & promotion.listed)


def _loss(promotion: Promotion, commit: Acknowledgement) -> str:
    """Return the kind of a lost commit."""
    if _has_listed_replica(promotion, commit):
        return "acknowledged writes"
    return "acknowledged writes that only replicas never listed had received"


def _describe(promotion: Promotion, commit: Acknowledgement) -> str:
    """Return who acknowledged a lost commit, and who has it."""
    return (
        f"{commit.item} was acknowledged by {commit.database} in term {commit.term} "
        f"(a listed replica had it: {_has_listed_replica(promotion, commit)}); "
        f"received by {sorted(commit.receivers)}, "
        f"held by {sorted(_holders(promotion, commit))}"
    )
