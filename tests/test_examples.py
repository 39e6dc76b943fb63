"""Tests of the examples."""

import subprocess
import sys
from pathlib import Path

EXAMPLES = Path(__file__).parent.parent / "examples"


class TestEmbedding:
    """Guards against library modules that work only inside the daemon."""

    def test_example_runs_on_its_own(self):
        done = subprocess.run(
            [sys.executable, str(EXAMPLES / "embedding.py")],
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert done.returncode == 0, done.stderr
        assert done.stdout == "replica at 9: waits\nreplica at 10: serves\n"
