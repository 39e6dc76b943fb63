"""Checkers of recorded histories, independent of the code under test.

Each checker returns the violations that it found, one sentence each. Writes carry
values ``<key>=<number>``, which are unique and increase within a session.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable

from standins.records import NOT_RUN, Call, History, LogEntry

WRITES = frozenset({"write", "statement"})
# These requests take one token; commit and rollback take none.
ADMITTED_KINDS = frozenset({"read", "write", "begin", "statement"})
RATE_TOLERANCE = 1e-6


def number_of(value: str) -> int:
    """Return the number in a value, 0 for a row that was never written."""
    return int(value.rpartition("=")[2]) if value else 0


def values_in(entries: Iterable[LogEntry]) -> Counter[str]:
    return Counter(str(v) for entry in entries for v in entry.rows.values())


def committed(history: History) -> set[str]:
    """Return the transactions whose commit was acknowledged."""
    return {
        call.transaction
        for call in history.calls
        if call.kind == "commit" and call.is_answered
    }


def acknowledged(history: History) -> list[Call]:
    """Return the acknowledged writes, those of committed transactions included."""
    done = committed(history)
    return [
        call
        for call in history.calls
        if call.kind in WRITES
        and call.is_answered
        and (call.kind == "write" or call.transaction in done)
    ]


def check_read_your_writes(history: History) -> list[str]:
    """A read returns nothing older than what its session has written or read."""
    found = []
    newest: dict[tuple[str, str], int] = defaultdict(int)
    done = committed(history)
    pending: dict[str, list[Call]] = defaultdict(list)
    for call in sorted(history.calls, key=lambda call: call.sent_at_s):
        if not call.is_answered:
            continue
        row = (call.session, call.key)
        if call.kind == "read":
            if number_of(call.value) < newest[row]:
                found.append(
                    f"{call.session} read {call.value or 'nothing'} of {call.key} "
                    f"at {call.endpoint} after {newest[row]}"
                )
            newest[row] = max(newest[row], number_of(call.value))
        elif call.kind == "write":
            newest[row] = max(newest[row], number_of(call.value))
        elif call.kind == "statement" and call.transaction in done:
            pending[call.transaction].append(call)
        elif call.kind == "commit":
            for written in pending.pop(call.transaction, []):
                row = (written.session, written.key)
                newest[row] = max(newest[row], number_of(written.value))
    return found


def check_at_most_once(history: History) -> list[str]:
    """No value is in the surviving log twice."""
    counts = values_in(history.surviving)
    return [f"{value} was written {n} times" for value, n in counts.items() if n > 1]


def check_not_run(history: History) -> list[str]:
    """A write refused with not-run never ran, not even in entries truncated later."""
    logged = values_in(history.logged)
    ran = {r.text.rpartition(" ")[2] for r in history.executed if not r.transaction}
    found = [
        f"{call.value} ran after {call.code} not-run"
        for call in history.calls
        if call.kind == "write"
        and call.outcome == NOT_RUN
        and (call.value in logged or call.value in ran)
    ]
    return found + _check_not_run_commits(history, logged)


def _check_not_run_commits(history: History, logged: Counter[str]) -> list[str]:
    refused = {
        call.transaction
        for call in history.calls
        if call.kind == "commit" and call.outcome == NOT_RUN
    }
    return [
        f"{call.value} ran though the commit of {call.transaction} was not run"
        for call in history.calls
        if call.kind == "statement"
        and call.transaction in refused
        and call.value in logged
    ]


def check_acknowledged_survive(history: History) -> list[str]:
    """Every acknowledged write is in the surviving log."""
    surviving = values_in(history.surviving)
    return [
        f"{call.value} was acknowledged by {call.endpoint} and is lost"
        for call in acknowledged(history)
        if call.value not in surviving
    ]


def check_transactions(history: History) -> list[str]:
    """Transactions are never mixed, and each survives completely or not at all."""
    label_of = {c.value: c.transaction for c in history.calls if c.kind == "statement"}
    found = []
    labels: dict[str, set[str]] = defaultdict(set)
    for record in history.executed:
        if record.kind == "write":
            label = label_of.get(record.text.rpartition(" ")[2], "")
            ran_in = f"{record.endpoint} {record.transaction}"
            if bool(label) != bool(record.transaction):
                found.append(f"{record.text!r} ran in transaction {ran_in!r}")
            elif label:
                labels[ran_in].add(label)
    found += [f"{t} mixes {sorted(s)}" for t, s in labels.items() if len(s) > 1]
    expected: dict[str, set[str]] = defaultdict(set)
    for call in history.calls:
        if call.kind == "statement" and call.is_answered:
            expected[call.transaction].add(call.value)
    for entry in history.surviving:
        values = {str(value) for value in entry.rows.values()}
        for label in {label_of[v] for v in values if label_of.get(v)}:
            missing = expected[label] - values
            if missing or any(label_of.get(v) != label for v in values):
                found.append(f"{label} survives in part: {sorted(values)}")
    return found


def check_organisations(history: History) -> list[str]:
    """Statements run only for the organisation of their row; no text has a key."""
    found = []
    for record in history.executed:
        owner = record.text.split(" ")[1].partition(".")[0]
        if owner != record.organisation:
            found.append(f"{record.text!r} ran for {record.organisation}")
    texts = dict(history.texts)
    texts["endpoint records"] = "\n".join(
        f"{record.organisation} {record.text}" for record in history.executed
    )
    for name, text in texts.items():
        found += [
            f"key of {o} is in {name}" for o, k in history.keys.items() if k in text
        ]
    return found


def check_rate(
    history: History, *, organisation: str, rate_per_s: float, burst: float
) -> list[str]:
    """No window admits more than rate × window + burst.

    A window begins as a request is sent and ends as one is answered; requests
    that lie within it were admitted within it.
    """
    admitted = sorted(
        (
            call
            for call in history.calls
            if call.organisation == organisation
            and call.kind in ADMITTED_KINDS
            # A request refused as not-run may not have reached admission.
            and call.outcome != NOT_RUN
        ),
        key=lambda call: call.answered_at_s,
    )
    for start_s in sorted({call.sent_at_s for call in admitted}):
        inside = [call for call in admitted if call.sent_at_s >= start_s]
        for count, last in enumerate(inside, 1):
            allowed = rate_per_s * (last.answered_at_s - start_s) + burst
            if count > allowed + RATE_TOLERANCE:
                return [
                    f"{count} requests of {organisation} in "
                    f"{last.answered_at_s - start_s:.3f} s, {allowed:.1f} are allowed"
                ]
    return []


def check_terms(history: History) -> list[str]:
    """Acknowledgements have the term of the surviving entry; it never decreases."""
    entry_of = {
        str(value): entry
        for entry in history.surviving
        for value in entry.rows.values()
    }
    found = []
    writes = [call for call in acknowledged(history) if call.kind == "write"]
    for call in writes:
        entry = entry_of.get(call.value)
        if entry is not None and entry.term != call.term:
            found.append(f"{call.value} of term {entry.term} has ack of {call.term}")
    for group in set(history.groups.values()):
        inside = [call for call in writes if history.groups[call.endpoint] == group]
        by_end = sorted(inside, key=lambda call: call.answered_at_s)
        highest, done = 0, 0
        for call in sorted(inside, key=lambda call: call.sent_at_s):
            while done < len(by_end) and by_end[done].answered_at_s < call.sent_at_s:
                highest = max(highest, by_end[done].term)
                done += 1
            if call.term < highest:
                found.append(f"{call.value} has ack of {call.term} after {highest}")
    return found


def check_answers(history: History) -> list[str]:
    """A read is answered with one row, and with a value of the requested row."""
    found = []
    for call in history.calls:
        if call.kind == "read" and call.is_answered:
            if call.rows != 1:
                found.append(f"read of {call.key} has {call.rows} rows")
            elif call.value and not call.value.startswith(f"{call.key}="):
                found.append(f"read of {call.key} got {call.value}")
    return found


Checker = Callable[[History], list[str]]
CHECKERS: tuple[Checker, ...] = (
    check_read_your_writes,
    check_at_most_once,
    check_not_run,
    check_acknowledged_survive,
    check_transactions,
    check_organisations,
    check_terms,
    check_answers,
)


def violations(history: History) -> list[str]:
    """Return the violations that all checkers find, each with the checker's name."""
    return [
        f"{checker.__name__.removeprefix('check_')}: {text}"
        for checker in CHECKERS
        for text in checker(history)
    ]
