"""Boundary of the adapter: the platform's names stay in one package."""

import ast
import re
from pathlib import Path

import pytest

SOURCE = Path(__file__).parent.parent / "src" / "ebonyladder"
ADAPTER = SOURCE / "platform"
PLATFORM_NAMES = re.compile(
    r"STARTUP|STEPDOWN|X-Ebonyladder-|Store-Era|MISROUTED|TOOMANY|INDOUBT|LAGGING|NODB|UNAUTH"
    r"|NOSTMT|cold_remaining_ms|EBONYLADDER_SETTINGS|bounded_staleness"
    r"|read_your_writes|max_staleness_ms|tx_idle_ms|db_role|as_of=|has_more"
    r"|api_keys|node_name|bind_addresses|internal_ports|/readiness|/promote\b"
)
# Modules that make decisions; the adapter may import only types and interfaces.
DECISION_MODULES = {
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


class TestAdapterBoundary:
    @pytest.mark.parametrize("path", OTHER_SOURCES, ids=lambda p: p.stem)
    def test_platform_names_occur_only_in_the_adapter(self, path):
        # Guards against the platform's names spreading through the other packages.
        found = PLATFORM_NAMES.findall(path.read_text())
        assert found == []

    @pytest.mark.parametrize("path", sorted(ADAPTER.glob("*.py")), ids=lambda p: p.stem)
    def test_adapter_imports_no_decision_module(self, path):
        # Guards against decisions in the adapter, which another front end couldn't use.
        tree = ast.parse(path.read_text())
        modules = {
            node.module or ""
            for node in ast.walk(tree)
            if isinstance(node, ast.ImportFrom)
        }
        assert not {m.rpartition(".")[2] for m in modules} & DECISION_MODULES
