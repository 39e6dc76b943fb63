"""Session daemon: start, reload of the settings, drain and stop."""

import asyncio
import signal
import sys
from collections.abc import Callable

import uvloop
from absl import logging

from ebonyladder.kernel.error import ConfigurationError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.registry import discover
from ebonyladder.logs import log_to_stdout
from ebonyladder.sessions.registry import REGISTRY
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

    def reload() -> None:
        try:
            loaded = load()
        except ConfigurationError as error:
            logging.error("[daemon] Settings could not be reloaded. error=%s", error)
            return
        if loaded.grace_s != kernel.settings.grace_s:
            kernel.settings = loaded
        logging.info("[daemon] Settings are reloaded. vm=%s", settings.vm)

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    await kernel.start()
    await stopping.wait()
    logging.info("[daemon] Drain begins. vm=%s", settings.vm)
    await kernel.drain()
    await kernel.stop()


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
