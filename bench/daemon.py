"""Entry of a daemon for measurements: another silence limit, or a profile."""

import cProfile

import fire

import ebonyladder.promotion as promotion
from ebonyladder.daemon import run


def main(settings: str, silence_s: float = 0.0, profile: str = "") -> None:
    """Run the daemon with a changed part.

    Parameters
    ----------
    settings : str
        Path of the settings file.
    silence_s : float
        Silence of a primary before its replacement, in seconds; 0 keeps the
        product's own limit.
    profile : str
        File for the profile; empty for none. It is written on SIGTERM.
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
