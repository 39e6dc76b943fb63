"""Entry point of the daemon."""

import asyncio
import signal
import sys

import fire
import uvloop
from absl import logging

from ebonyladder.kernel.error import ConfigurationError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.registry import discover
from ebonyladder.settings import Settings, load_settings

PLUGIN_PACKAGE = "ebonyladder.plugins"
LOG_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


async def run_daemon(settings: Settings) -> None:
    """Run one daemon until SIGTERM or SIGINT, then drain and stop it."""
    discover(PLUGIN_PACKAGE)
    kernel = Kernel(settings=settings)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await kernel.start()
    await stopping.wait()
    logging.info("[kernel] Drain has begun. vm=%s", settings.vm)
    await kernel.drain()
    await kernel.stop()


def run(settings: str) -> None:
    """Run the entry daemon.

    Parameters
    ----------
    settings : str
        Path of the settings file, JSON with comments.
    """
    try:
        loaded = load_settings(settings)
    except ConfigurationError as error:
        sys.exit(f"ebonyladder-daemon: {error.message}")
    logging.use_absl_handler()
    logging.set_verbosity(LOG_LEVELS[loaded.log_level])
    logging.set_stderrthreshold("debug")
    uvloop.run(run_daemon(loaded))


def main() -> None:
    """Parse the command line and run the daemon."""
    fire.Fire(run)


if __name__ == "__main__":
    main()
