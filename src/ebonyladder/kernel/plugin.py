"""Base class of plug-ins."""

from abc import ABC
from typing import TYPE_CHECKING, ClassVar

if TYPE_CHECKING:
    from ebonyladder.kernel.kernel import Kernel


class Plugin(ABC):  # noqa: B024
    """Base class of plug-ins.

    Subclasses override only the life-cycle methods that they need.

    Attributes
    ----------
    name : str
        Unique name, by which the plug-in can be disabled.
    provides : tuple of type
        Abstract base classes that the plug-in implements.
    requires : tuple of type
        Abstract base classes that must be started before this plug-in.
    priority : int
        Of several providers of one class, the one with the highest priority is used.

    Parameters
    ----------
    kernel : Kernel
        Kernel that runs the plug-in.
    """

    name: ClassVar[str]
    provides: ClassVar[tuple[type, ...]] = ()
    requires: ClassVar[tuple[type, ...]] = ()
    priority: ClassVar[int] = 0

    def __init__(self, *, kernel: "Kernel") -> None:
        self.kernel = kernel

    async def start(self) -> None:  # noqa: B027
        """Start work; the providers in ``requires`` have already started."""

    def reload(self) -> None:  # noqa: B027
        """Apply the kernel's settings after they were replaced."""

    async def announce_drain(self) -> None:  # noqa: B027
        """Notify other VMs of this daemon's drain, before any plug-in drains."""

    async def drain(self) -> None:  # noqa: B027
        """Refuse new work and return once the work in progress has ended."""

    async def stop(self) -> None:  # noqa: B027
        """Release the resources that ``start`` acquired."""
