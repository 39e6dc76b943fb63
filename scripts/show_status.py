"""Print the public status of a daemon."""

import json
import urllib.request
from typing import Any

import fire

HOURS_SHOWN = 3


def line_of(hour: dict[str, Any]) -> str:
    """Return one line of text on an hour."""
    text = f"  {hour['begins']} {hour['state']}"
    if "reason" in hour:
        return f"{text} ({hour['reason']})"
    counts = ", ".join(
        f"{hour.get(name, 0)} {name}" for name in ("served", "failed", "refused")
    )
    return f"{text}: {counts}"


def main(url: str) -> None:
    """Print the state and the last hours of each service.

    Parameters
    ----------
    url : str
        Address of a daemon's ``/status.json``.
    """
    with urllib.request.urlopen(url, timeout=10) as answer:
        page: dict[str, Any] = json.load(answer)
    if not page["established"]:
        print("the history is not established: " + "; ".join(page["problems"]))
    for service in page["services"]:
        hours = service["hours"][-HOURS_SHOWN:]
        print(f"{service['service']}: {service['checked_hours']} hours of history")
        print("\n".join(line_of(hour) for hour in hours))


if __name__ == "__main__":
    fire.Fire(main)
