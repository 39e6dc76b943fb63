"""Registry in which plug-ins register themselves."""

import pkgutil
from importlib import import_module
from importlib.metadata import entry_points

from ebonyladder.kernel.plugin import Plugin

ENTRY_POINT_GROUP = "ebonyladder.plugins"


class Registry:
    """Plug-in classes that have registered themselves."""

    def __init__(self) -> None:
        self.classes: dict[str, type[Plugin]] = {}

    def register(self, plugin_class: type[Plugin]) -> type[Plugin]:
        """Add a plug-in class; usable as a class decorator.

        Raises
        ------
        ValueError
            If another class has the same name.
        """
        registered = self.classes.get(plugin_class.name)
        if registered is not None and registered is not plugin_class:
            raise ValueError(f"two plug-ins are named {plugin_class.name!r}")
        self.classes[plugin_class.name] = plugin_class
        return plugin_class

    def select(self, *, disabled: frozenset[str] = frozenset()) -> list[type[Plugin]]:
        """Return the classes to run, each after those it requires.

        Of several classes that provide the same abstract base class only the
        one with the highest priority is returned.

        Raises
        ------
        LookupError
            If a required class has no provider or the requirements form a cycle.
        """
        enabled = [c for n, c in sorted(self.classes.items()) if n not in disabled]
        providers: dict[type, type[Plugin]] = {}
        for candidate in enabled:
            for interface in candidate.provides:
                current = providers.get(interface)
                if current is None or candidate.priority > current.priority:
                    providers[interface] = candidate
        chosen = [
            c
            for c in enabled
            if not c.provides or any(providers[i] is c for i in c.provides)
        ]
        return self._in_dependency_order(chosen, providers)

    def _in_dependency_order(
        self, chosen: list[type[Plugin]], providers: dict[type, type[Plugin]]
    ) -> list[type[Plugin]]:
        ordered: list[type[Plugin]] = []
        visiting: set[str] = set()

        def visit(plugin_class: type[Plugin]) -> None:
            if plugin_class in ordered:
                return
            if plugin_class.name in visiting:
                raise LookupError(
                    f"the requirements of plug-in {plugin_class.name!r} form a cycle"
                )
            visiting.add(plugin_class.name)
            for interface in plugin_class.requires:
                if interface not in providers:
                    raise LookupError(
                        f"plug-in {plugin_class.name!r} requires "
                        f"{interface.__name__}, which no plug-in provides"
                    )
                visit(providers[interface])
            ordered.append(plugin_class)

        for plugin_class in chosen:
            visit(plugin_class)
        return ordered


REGISTRY = Registry()
register = REGISTRY.register


def discover(package: str) -> None:
    """Import the public modules of ``package`` and load third-party entry points."""
    root = import_module(package)
    for info in pkgutil.iter_modules(root.__path__):
        if not info.name.startswith("_"):
            import_module(f"{package}.{info.name}")
    for entry in entry_points(group=ENTRY_POINT_GROUP):
        entry.load()
