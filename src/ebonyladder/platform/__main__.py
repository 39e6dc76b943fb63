"""Entry point of the daemon on the users' platform."""

import os
import sys

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
    if len(sys.argv) > 1:
        # Imported only where it is used: it takes an eighth of the time to start.
        import fire

        fire.Fire(main)
    else:
        main()
