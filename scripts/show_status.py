"""Print the public status of a daemon."""

import json
import urllib.request
from typing import Any

import fire


def main(url: str) -> None:
    """Print the state and the last hours of each service.

    Parameters
    ----------
    url : str
        Address of a daemon's ``/status.json``.
    """
    with urllib.request.urlopen(url, timeout=10) as answer:
        page: dict[str, Any] = json.load(answer)
    print(json.dumps(page, indent=1)[:1500])


if __name__ == "__main__":
    fire.Fire(main)
