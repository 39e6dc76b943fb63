"""The adapter's boundary: names of the platform stay in one folder."""

import ast
import re
from pathlib import Path

import pytest

SOURCE = Path(__file__).parent.parent / "src" / "ebonyladder"
ADAPTER = SOURCE / "platform"
PLATFORM_NAMES = re.compile(
    r"STARTUP|STEPDOWN|X-Ebonyladder-|MISROUTED|TOOMANY|INDOUBT|LAGGING|NODB|UNAUTH"
    r"|NOSTMT|cold_remaining_ms|EBONYLADDER_SETTINGS|bounded_staleness"
    r"|read_your_writes|max_staleness_ms|tx_idle_ms|db_role|as_of=|has_more"
    r"|api_keys|node_name|bind_addresses|internal_ports|/readiness|/promote\b"
)
# What the adapter may use of the product: types and interfaces, nothing that decides.
DECISIONS = {
    "configuration_freshness",
    "endpoint_selector",
    "executor",
    "failover",
    "failure_detector",
    "health",
    "leadership",
    "pool",
    "primary_positions",
}
OTHER_SOURCES = [p for p in SOURCE.rglob("*.py") if ADAPTER not in p.parents]


class TestBoundary:
    @pytest.mark.parametrize("path", OTHER_SOURCES, ids=lambda p: p.stem)
    def test_no_name_of_the_platform_outside_the_adapter(self, path):
        # Guards against the platform's words spreading through the product.
        found = PLATFORM_NAMES.findall(path.read_text())
        assert found == []

    @pytest.mark.parametrize("path", sorted(ADAPTER.glob("*.py")), ids=lambda p: p.stem)
    def test_adapter_imports_no_decision(self, path):
        # Guards against decisions that another front end couldn't use.
        tree = ast.parse(path.read_text())
        modules = {
            node.module or ""
            for node in ast.walk(tree)
            if isinstance(node, ast.ImportFrom)
        }
        assert not {m.rpartition(".")[2] for m in modules} & DECISIONS
