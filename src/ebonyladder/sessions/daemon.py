"""Session daemon: start, reload of the settings, drain and stop."""

import asyncio
import signal
import sys
from collections.abc import Callable
from functools import partial

import uvloop
from absl import logging

from ebonyladder.kernel.error import ConfigurationError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.registry import discover
from ebonyladder.logs import log_to_stdout
from ebonyladder.sessions.registry import REGISTRY
from ebonyladder.sessions.reload import SettingsReloader
from ebonyladder.sessions.settings import SessionSettings

PLUGIN_PACKAGE = "ebonyladder.sessions.plugins"


async def run_daemon(load: Callable[[], SessionSettings], adapter: str) -> None:
    """Run one daemon until SIGTERM or SIGINT, then drain and stop it."""
    settings = load()
    discover(PLUGIN_PACKAGE)
    discover(adapter)
    kernel = Kernel(settings=settings, registry=REGISTRY)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()

    reloader = SettingsReloader(kernel=kernel, load=load)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, partial(reloader.check, is_requested=True))
    await start_unless_stopped(kernel, stopping)
    kernel.supervise(reloader.run, name="settings")
    await stopping.wait()
    logging.info("[daemon] Drain begins. vm=%s", settings.vm)
    await kernel.drain()
    await kernel.stop()


async def start_unless_stopped(kernel: Kernel, stopping: asyncio.Event) -> None:
    """Start the plug-ins, until a signal stops the daemon.

    A plug-in that waits in its start must not use up the grace period of those that
    serve callers already.
    """
    starting = asyncio.create_task(kernel.start())
    signalled = asyncio.create_task(stopping.wait())
    await asyncio.wait({starting, signalled}, return_when=asyncio.FIRST_COMPLETED)
    signalled.cancel()
    if starting.done():
        starting.result()
        return
    logging.warning("[daemon] Stopped during the start. vm=%s", kernel.settings.vm)
    starting.cancel()
    await asyncio.wait({starting})


def run(*, load: Callable[[], SessionSettings], adapter: str) -> None:
    """Run the daemon with the plug-ins of an adapter package.

    Parameters
    ----------
    load : callable
        Returns the settings; called again on SIGHUP.
    adapter : str
        Package whose modules register the adapter's plug-ins.
    """
    log_to_stdout()
    try:
        load()
    except ConfigurationError as error:
        sys.exit(f"ebonyladder: {error.message}")
    uvloop.run(run_daemon(load, adapter))
