"""HTML and JSON forms of the public status; no scripts, nothing external."""

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

# Each cell also has a letter, since colour alone does not reach every reader.
LETTERS = {
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
.hours span{flex:1;max-width:1.5rem;margin-right:1px;font-size:.7rem;text-align:center;
color:var(--on);border-radius:2px}
.operational{background:var(--ok)}.degraded{background:var(--degraded)}
.outage{background:var(--outage)}.not-observed{background:var(--unknown)}
.none{color:inherit!important;opacity:.4}
.label{color:var(--on);border-radius:4px;padding:.1rem .5rem}
details pre{white-space:pre-wrap}
"""


def render_html(snapshot: Snapshot, now_s: float) -> str:
    """Return the status page."""
    services = sorted(snapshot.services, key=lambda s: (not s.listed, s.service))
    read = _time(snapshot.read_s) if snapshot.read_s else "never"
    return "".join(
        [
            '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">',
            '<meta name="viewport" content="width=device-width,initial-scale=1">',
            f"<title>Service status</title><style>{STYLE}</style></head><body>",
            "<main>",
            _banner(snapshot),
            "<h1>Service status</h1>",
            f"<p>All times are UTC. Page made {_time(now_s)}, history read {read}.</p>",
            _legend(),
            *(_service(service) for service in services),
            "" if services else "<p>No service is listed.</p>",
            "</main></body></html>",
        ]
    )


def render_json(snapshot: Snapshot, now_s: float) -> bytes:
    """Return the JSON form of the page."""
    services = [
        {
            **msgspec.to_builtins(service),
            "hours": [_hour_fields(status) for status in service.hours],
        }
        for service in snapshot.services
    ]
    return msgspec.json.encode(
        {
            "established": snapshot.is_established,
            "problems": snapshot.problems,
            "made": _time(now_s),
            "read": _time(snapshot.read_s) if snapshot.read_s else None,
            "services": services,
        }
    )


def _hour_fields(status: HourStatus) -> dict[str, object]:
    return {
        "hour": status.hour,
        "begins": _time(status.hour * SECONDS_PER_HOUR),
        "state": status.state,
        "own_state": status.own,
        "reason": status.reason,
        "minutes": status.minutes,
        "observers": status.observers,
        "served": status.counts.served,
        "failed": status.counts.failed,
        "refused": status.counts.refused,
    }


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
        f'<span class="label {state.value}">{LETTERS[state]} {NAMES[state]}</span>'
        for state in ServiceState
    )
    return f"<p>{labels}</p><p>One row is one day, one cell one hour from 00 to 23.</p>"


def _service(service: ServiceStatus) -> str:
    title = escape(service.service)
    state = service.state
    label = f'<span class="label {state.value}">{LETTERS[state]} {NAMES[state]}</span>'
    if not service.listed:
        label = "no longer listed"
    if service.problem:
        label += " <strong>history not established</strong>"
    depends = ", ".join(escape(name) for name in service.depends_on)
    days = groupby(reversed(service.hours), key=lambda h: h.hour // HOURS_PER_DAY)
    return (
        f"<section><h2>{title}</h2><p>{label}</p>"
        + (f"<p>Depends on {depends}.</p>" if depends else "")
        + f"<p>{service.checked_hours} hours since "
        f"{_time(service.first_hour * SECONDS_PER_HOUR)}, "
        f"{service.not_observed_hours} of them not observed.</p>"
        + '<ol class="days">'
        + "".join(_day(day, list(hours)) for day, hours in days)
        + "</ol></section>"
    )


def _day(day: int, hours: list[HourStatus]) -> str:
    by_hour = {status.hour: status for status in hours}
    first = day * HOURS_PER_DAY
    cells = "".join(_cell(by_hour.get(first + h)) for h in range(HOURS_PER_DAY))
    date = _time(first * SECONDS_PER_HOUR)[:10]
    return (
        f'<li><time datetime="{date}">{date}</time> {_day_text(hours)}'
        f'<div class="hours" aria-hidden="true">{cells}</div>'
        f"{_exceptions(hours)}</li>"
    )


def _day_text(hours: list[HourStatus]) -> str:
    due = [h for h in hours if not _is_blank(h)]
    if not due:
        return "nothing to show yet"
    counts = [(state, sum(h.state is state for h in due)) for state in ServiceState]
    return ", ".join(f"{n} h {NAMES[state]}" for state, n in counts if n)


def _exceptions(hours: list[HourStatus]) -> str:
    """Return the hours that are not plainly operational, as text."""
    lines = [
        describe(status)
        for status in sorted(hours, key=lambda status: status.hour)
        if not _is_blank(status)
        and (status.state is not ServiceState.OPERATIONAL or status.minutes < 60)
    ]
    if not lines:
        return ""
    text = "\n".join(escape(line) for line in lines)
    return (
        f"<details><summary>{len(lines)} h in detail</summary><pre>{text}</pre>"
        "</details>"
    )


def _cell(status: HourStatus | None) -> str:
    if status is None or _is_blank(status):
        return '<span class="none">·</span>'
    return (
        f'<span class="{status.state.value}" title="{escape(describe(status))}">'
        f"{LETTERS[status.state]}</span>"
    )


def _is_blank(status: HourStatus) -> bool:
    return status.reason in (NotObservedReason.IN_PROGRESS,)


def describe(status: HourStatus) -> str:
    """Return one line of text on an hour."""
    text = f"{_time(status.hour * SECONDS_PER_HOUR)[11:16]} {NAMES[status.state]}"
    if status.reason is not None:
        return f"{text} ({status.reason.value})"
    if status.state is not status.own:
        text += f" (a dependency; own state {NAMES[status.own]})"
    return (
        f"{text}: {status.counts.served} served, {status.counts.failed} failed, "
        f"{status.counts.refused} refused, {status.minutes} of 60 min observed"
    )


def _time(wall_s: float) -> str:
    return datetime.fromtimestamp(wall_s, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
