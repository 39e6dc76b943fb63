"""HTML and JSON forms of the public status; without scripts and external files."""

from collections.abc import Iterator
from datetime import UTC, datetime
from html import escape
from itertools import groupby

import msgspec

from ebonyladder._status_snapshot import HourStatus, ServiceStatus, Snapshot
from ebonyladder.status import (
    HOURS_PER_DAY,
    SECONDS_PER_HOUR,
    NotObservedReason,
    ServiceState,
)

# Each cell also has a symbol: some readers can't tell the colours apart.
SYMBOLS = {
    ServiceState.OPERATIONAL: "✓",
    ServiceState.NOT_OBSERVED: "?",
    ServiceState.DEGRADED: "D",
    ServiceState.OUTAGE: "X",
}
NAMES = {
    ServiceState.OPERATIONAL: "operational",
    ServiceState.NOT_OBSERVED: "not observed",
    ServiceState.DEGRADED: "degraded",
    ServiceState.OUTAGE: "outage",
}
CLASSES = {
    ServiceState.OPERATIONAL: "o",
    ServiceState.NOT_OBSERVED: "n",
    ServiceState.DEGRADED: "d",
    ServiceState.OUTAGE: "x",
}
# A page has thousands of cells: a short tag keeps it small on a phone.
CELLS = {
    state: f"<i class={CLASSES[state]}>{symbol}</i>"
    for state, symbol in SYMBOLS.items()
}

STYLE = """
:root{color-scheme:light dark;--ok:#1a7f37;--degraded:#9a6700;--outage:#cf222e;
--unknown:#57606a;--on:#fff;--line:#8886}
@media(prefers-color-scheme:dark){:root{--ok:#3fb950;--degraded:#d29922;
--outage:#f85149;--unknown:#8b949e;--on:#0d1117}}
body{font:16px/1.4 system-ui,sans-serif;max-width:60rem;margin:0 auto;padding:1rem}
.banner{border:3px solid var(--outage);padding:.5rem 1rem}
section{border-top:1px solid var(--line);margin-top:1rem}
.days{list-style:none;padding:0;margin:0}
.days li{margin:.25rem 0}
.hours{display:flex}
.hours i{flex:1;max-width:1.5rem;margin-right:1px;font:.7rem/1.6 system-ui;
text-align:center;border-radius:2px;opacity:.5}
.o,.n,.d,.x{color:var(--on);opacity:1!important}
.o,.operational{background:var(--ok)}.d,.degraded{background:var(--degraded)}
.x,.outage{background:var(--outage)}.n,.not-observed{background:var(--unknown)}
.label{color:var(--on);border-radius:4px;padding:.1rem .5rem;
display:inline-block;margin:.1rem 0}
details pre{white-space:pre-wrap}
"""


class HourEntry(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One hour in the JSON form; fields that are null or 0 are left out."""

    begins: str
    state: ServiceState
    own_state: ServiceState
    reason: NotObservedReason | None = None
    minutes: int = 0
    observers: int = 0
    served: int = 0
    failed: int = 0
    refused: int = 0


def html_chunks(snapshot: Snapshot, now_s: float) -> Iterator[bytes]:
    """Yield the status page in chunks, one for each service.

    The caller can let other tasks run in between, since a service with 90 days
    takes milliseconds.
    """
    services = sorted(snapshot.services, key=lambda s: (not s.listed, s.service))
    read_at = _format_time(snapshot.read_at_s) if snapshot.read_at_s else "never"
    yield "".join(
        [
            '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">',
            '<meta name="viewport" content="width=device-width,initial-scale=1">',
            f"<title>Service status</title><style>{STYLE}</style></head><body>",
            "<main>",
            _banner(snapshot),
            "<h1>Service status</h1>",
            f"<p>All times are UTC. Page made {_format_time(now_s)}, "
            f"history read {read_at}.</p>",
            _legend(),
        ]
    ).encode()
    for service in services:
        yield _service_section(service).encode()
    yield b"" if services else b"<p>No service is listed.</p>"
    yield b"</main></body></html>"


def json_chunks(snapshot: Snapshot, now_s: float) -> Iterator[bytes]:
    """Yield the JSON form of the page in chunks, one for each service."""
    page_fields = {
        "established": snapshot.is_established,
        "problems": snapshot.problems,
        "made": _format_time(now_s),
        "read": _format_time(snapshot.read_at_s) if snapshot.read_at_s else None,
    }
    yield msgspec.json.encode(page_fields)[:-1] + b',"services":['
    for number, service in enumerate(snapshot.services):
        fields = msgspec.structs.asdict(service)
        fields["hours"] = [_hour_entry(status) for status in service.hours]
        yield (b"," if number else b"") + msgspec.json.encode(fields)
    yield b"]}"


def _hour_entry(status: HourStatus) -> HourEntry:
    return HourEntry(
        begins=_format_time(status.hour * SECONDS_PER_HOUR),
        state=status.state,
        own_state=status.own,
        reason=status.reason,
        minutes=status.minutes,
        observers=status.observers,
        served=status.counts.served,
        failed=status.counts.failed,
        refused=status.counts.refused,
    )


def _banner(snapshot: Snapshot) -> str:
    if snapshot.is_established:
        return ""
    problems = "".join(f"<li>{escape(problem)}</li>" for problem in snapshot.problems)
    return (
        '<div class="banner" role="alert"><strong>The history is not established.'
        "</strong> Hours below may be missing or out of date."
        f"<ul>{problems}</ul></div>"
    )


def _legend() -> str:
    labels = " ".join(
        f'<span class="label {state.value}">{SYMBOLS[state]} {NAMES[state]}</span>'
        for state in ServiceState
    )
    return f"<p>{labels}</p><p>One row is one day, one cell one hour from 00 to 23.</p>"


def _service_section(service: ServiceStatus) -> str:
    title = escape(service.service)
    state = service.state
    label = f'<span class="label {state.value}">{SYMBOLS[state]} {NAMES[state]}</span>'
    if not service.listed:
        label = "no longer listed"
    elif all(_is_in_progress(status) for status in service.hours):
        label = "no data yet"
    if service.problem:
        label += " <strong>history not established</strong>"
    depends = ", ".join(escape(name) for name in service.depends_on)
    days = groupby(reversed(service.hours), key=lambda h: h.hour // HOURS_PER_DAY)
    return (
        f"<section><h2>{title}</h2><p>{label}</p>"
        + (f"<p>Depends on {depends}.</p>" if depends else "")
        + f"<p>{_plural(service.checked_hours, 'hour')} since "
        f"{_format_time(service.first_hour * SECONDS_PER_HOUR)}, "
        f"{service.not_observed_hours} of them not observed.</p>"
        + '<ol class="days">'
        + "".join(_day_row(day, list(hours)) for day, hours in days)
        + "</ol></section>"
    )


def _day_row(day: int, hours: list[HourStatus]) -> str:
    by_hour = {status.hour: status for status in hours}
    first = day * HOURS_PER_DAY
    cells = "".join(_hour_cell(by_hour.get(first + h)) for h in range(HOURS_PER_DAY))
    date = _format_time(first * SECONDS_PER_HOUR)[:10]
    return (
        f'<li><time datetime="{date}">{date}</time> {_day_summary(hours)}'
        f'<div class="hours" aria-hidden="true">{cells}</div>'
        f"{_exception_details(hours)}</li>"
    )


def _day_summary(hours: list[HourStatus]) -> str:
    shown = [h for h in hours if not _is_in_progress(h)]
    if not shown:
        return "nothing to show yet"
    counts = [(state, sum(h.state is state for h in shown)) for state in ServiceState]
    return ", ".join(f"{n} h {NAMES[state]}" for state, n in counts if n)


def _exception_details(hours: list[HourStatus]) -> str:
    """Return the hours that were not operational or not fully observed, as text."""
    lines = [
        escape(describe_hour(status))
        for status in sorted(hours, key=lambda status: status.hour)
        if not _is_in_progress(status)
        and (status.state is not ServiceState.OPERATIONAL or status.minutes < 60)
    ]
    if not lines:
        return ""
    text = "\n".join(lines)
    return (
        f"<details><summary>{len(lines)} h in detail</summary><pre>{text}</pre>"
        "</details>"
    )


def _hour_cell(status: HourStatus | None) -> str:
    if status is None or _is_in_progress(status):
        return "<i>·</i>"
    return CELLS[status.state]


def _is_in_progress(status: HourStatus) -> bool:
    return status.reason is NotObservedReason.IN_PROGRESS


def describe_hour(status: HourStatus) -> str:
    """Describe an hour in one line of text."""
    text = (
        f"{_format_time(status.hour * SECONDS_PER_HOUR)[11:16]} {NAMES[status.state]}"
    )
    if status.reason is not None:
        return f"{text} ({status.reason.value})"
    if status.state is not status.own:
        text += f" (a dependency; own state {NAMES[status.own]})"
    return (
        f"{text}: {status.counts.served} served, {status.counts.failed} failed, "
        f"{status.counts.refused} refused, {status.minutes} of 60 min observed"
    )


def _plural(number: int, noun: str) -> str:
    return f"{number} {noun}" if number == 1 else f"{number} {noun}s"


def _format_time(wall_s: float) -> str:
    return datetime.fromtimestamp(wall_s, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
