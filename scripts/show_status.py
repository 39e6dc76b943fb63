"""Print the public status of a daemon."""

import json
import urllib.request
from typing import Any

import fire

SHOWN_HOURS = 3


def format_hour(hour: dict[str, Any]) -> str:
    """Describe an hour in one line of text."""
    text = f"  {hour['begins']} {hour['state']}"
    if "reason" in hour:
        return f"{text} ({hour['reason']})"
    counts = ", ".join(
        f"{hour.get(name, 0)} {name}" for name in ("served", "failed", "refused")
    )
    return f"{text}: {counts}"


def main(url: str) -> None:
    """Print the length of the history and the last hours of each service.

    Parameters
    ----------
    url : str
        Address of a daemon's ``/status.json``.
    """
    with urllib.request.urlopen(url, timeout=10) as response:
        status: dict[str, Any] = json.load(response)
    if not status["established"]:
        print("the history is not established: " + "; ".join(status["problems"]))
    for service in status["services"]:
        hours = service["hours"][-SHOWN_HOURS:]
        print(f"{service['service']}: {service['checked_hours']} hours of history")
        print("\n".join(format_hour(hour) for hour in hours))


if __name__ == "__main__":
    fire.Fire(main)
