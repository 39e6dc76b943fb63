"""Entry point of the daemon on the users' platform."""

import os

import fire

from ebonyladder.platform.settings import DEFAULT_PATH, SETTINGS_VARIABLE, load_settings
from ebonyladder.sessions.daemon import run


def main(settings: str = "") -> None:
    """Run the session daemon.

    Parameters
    ----------
    settings : str
        Path of the settings file; by default what the environment names.
    """
    path = settings or os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH)
    run(load=lambda: load_settings(path), adapter="ebonyladder.platform")


if __name__ == "__main__":
    fire.Fire(main)
