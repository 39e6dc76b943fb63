"""Daemon under cProfile, for the statement benchmark."""

import cProfile

import fire

from ebonyladder.daemon import run


def main(settings: str, profile: str) -> None:
    """Run a daemon and write its profile when it stops.

    Parameters
    ----------
    settings : str
        Path of the settings file.
    profile : str
        Path of the profile to write.
    """
    profiler = cProfile.Profile()
    try:
        profiler.runcall(run, settings)
    finally:
        profiler.dump_stats(profile)


if __name__ == "__main__":
    fire.Fire(main)
