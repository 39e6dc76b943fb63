"""Daemon for benchmarks, with another report timeout or under a profiler."""

import cProfile

import fire

import ebonyladder.promotion as promotion
from ebonyladder.daemon import run


def main(settings: str, silence_s: float = 0.0, profile: str = "") -> None:
    """Run the daemon with an overridden setting.

    Parameters
    ----------
    settings : str
        Path of the settings file.
    silence_s : float
        Time without a report after which a primary is replaced, in seconds; 0
        keeps the daemon's own timeout.
    profile : str
        Path of the profile, which is written on SIGTERM; empty for none.
    """
    if silence_s:
        promotion.REPORT_TIMEOUT_S = silence_s
    if not profile:
        run(settings)
        return
    profiler = cProfile.Profile()
    try:
        profiler.runcall(run, settings)
    finally:
        profiler.dump_stats(profile)


if __name__ == "__main__":
    fire.Fire(main)
