"""Command line of the session daemon on the users' platform."""

import os
import sys

from ebonyladder.kernel.error import ConfigurationError
from ebonyladder.platform.settings import DEFAULT_PATH, SETTINGS_VARIABLE, load_settings
from ebonyladder.sessions.daemon import run


def serve(settings: str = "") -> None:
    """Run the session daemon.

    Parameters
    ----------
    settings : str
        Path of the settings file; by default the path in ``EBONYLADDER_SETTINGS``,
        or else ``/etc/ebonyladder/settings.toml``.
    """
    path = settings or os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH)
    run(load=lambda: load_settings(path), adapter="ebonyladder.platform")


def check_settings(path: str) -> str:
    """Check a settings file and show the settings that the daemon reads from it."""
    try:
        settings = load_settings(path)
    except ConfigurationError as error:
        sys.exit(f"ebonyladder: {error.message}")
    lines = (
        f"{name} = {getattr(settings, name)}" for name in settings.__struct_fields__
    )
    return "\n".join(lines)


def check_configuration(path: str) -> str:
    """Check a file with the content of the store's configuration object."""
    import msgspec

    from ebonyladder.platform.configuration import decode_catalog

    try:
        with open(path, "rb") as file:
            catalog = decode_catalog(msgspec.json.decode(file.read()))
    except (OSError, msgspec.DecodeError, msgspec.ValidationError) as error:
        sys.exit(f"ebonyladder: configuration {path}: {error}")
    return (
        f"version {catalog.version}: {len(catalog.routes)} routes, "
        f"{len(catalog.services)} services, {len(catalog.organisations)} organisations"
    )


def main() -> None:
    """Run the command on the command line, by default the daemon."""
    if len(sys.argv) == 1:
        serve()
        return
    # Imported here since the import takes an eighth of the daemon's start-up time.
    import fire

    fire.Fire(
        {
            "serve": serve,
            "check-settings": check_settings,
            "check-configuration": check_configuration,
        }
    )


if __name__ == "__main__":
    main()
