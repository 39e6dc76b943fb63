"""Tests of a deployment's stand-in processes."""

import pytest

from standins.deployment import Deployment

# Deployments of processes run one after the other, on one worker.
pytestmark = pytest.mark.xdist_group("processes")


class TestHistory:
    """Guards against a check that fails because an endpoint is still starting."""

    def test_history_of_an_endpoint_that_has_just_been_started(self) -> None:
        deployment = Deployment(vms=0, groups=1)
        name = next(iter(deployment.endpoints))
        try:
            deployment.start_endpoint(name)
            assert deployment.history_of(name) == []
        finally:
            deployment.stop()
