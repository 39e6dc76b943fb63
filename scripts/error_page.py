"""Write ``docs/errors.md`` from the table of error codes."""

from pathlib import Path

from ebonyladder.kernel.error import ErrorCode

PAGE = Path(__file__).parent.parent / "docs" / "errors.md"
HEAD = """# Error codes

This page is made by `python -m scripts.error_page` from the table in
`src/ebonyladder/kernel/error.py`. A refusal carries its code, its outcome, and
the step and peer at which it arose. The outcome below is the usual one; a
refusal whose place proves another outcome carries that one.

| code | outcome | HTTP status | meaning |
|---|---|---|---|
"""


def error_page() -> str:
    """Return the text of the page."""
    rows = (
        f"| `{info.code}` | {info.outcome.value} | {info.http_status} | "
        f"{info.meaning} |\n"
        for info in (member.value for member in ErrorCode)
    )
    return HEAD + "".join(rows)


if __name__ == "__main__":
    PAGE.write_text(error_page())
