"""Tasks that live as long as the daemon, after unexpected errors."""

import asyncio

import pytest

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.kernel import MAX_RESTART_BACKOFF_S, Kernel
from ebonyladder.kernel.registry import Registry
from ebonyladder.sessions.plugins.metrics import MetricsPlugin
from tests.fleet import run_virtual
from tests.test_kernel import SETTINGS


class FailingTask:
    """Task that fails a number of times, then waits."""

    def __init__(self, *, clock: ManualClock, failures: int) -> None:
        self.clock = clock
        self.failures = failures
        self.started_at_s: list[float] = []

    async def run(self) -> None:
        """Fail, or wait until cancelled."""
        self.started_at_s.append(self.clock.now_s())
        if len(self.started_at_s) <= self.failures:
            raise KeyError("unexpected")
        await asyncio.Event().wait()


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def kernel(clock) -> Kernel:
    registry = Registry()
    registry.register(MetricsPlugin)
    return Kernel(settings=SETTINGS, clock=clock, registry=registry)


def run_for(kernel: Kernel, task: FailingTask, duration_s: float) -> None:
    """Supervise a task for some time, then stop the daemon."""

    async def main() -> None:
        await kernel.start()
        kernel.supervise(task.run, name="watch-x")
        await asyncio.sleep(duration_s)
        await kernel.stop()

    run_virtual(main(), kernel.clock)


class TestSupervision:
    """Guards against a daemon that answers but no longer follows the fleet."""

    def test_failed_task_runs_again(self, clock, kernel):
        task = FailingTask(clock=clock, failures=3)
        run_for(kernel, task, 10.0)
        assert len(task.started_at_s) == 4
        assert kernel.task_failures == {"watch-x": 3}

    def test_failures_are_counted_in_the_metrics(self, clock, kernel):
        run_for(kernel, FailingTask(clock=clock, failures=2), 10.0)
        lines = kernel.plugins[0].render().decode().splitlines()
        assert 'ebonyladder_task_failures{task="watch-x"} 2' in lines

    def test_task_that_always_fails_does_not_spin(self, clock, kernel):
        # Guards against a restart that takes the processor from the callers.
        task = FailingTask(clock=clock, failures=10_000)
        run_for(kernel, task, 60.0)
        gaps = [
            b - a
            for a, b in zip(task.started_at_s, task.started_at_s[1:], strict=False)
        ]
        assert max(gaps) <= MAX_RESTART_BACKOFF_S + 0.1
        assert len(task.started_at_s) < 25

    def test_task_that_returns_is_not_restarted(self, clock, kernel):
        async def main() -> list[int]:
            runs = []

            async def run() -> None:
                runs.append(1)

            kernel.supervise(run, name="once")
            await asyncio.sleep(10.0)
            return runs

        assert run_virtual(main(), clock) == [1]
