"""Callers' requests under way, over HTTP and WebSocket alike."""

import asyncio
from collections.abc import Awaitable, Callable

from absl import logging

from ebonyladder._caller_codec import Reply, answer_reply, refusal_reply
from ebonyladder.caller import CallerAnswer
from ebonyladder.gateway import Gateway
from ebonyladder.kernel.error import EbonyladderError, ErrorCode, RequestError
from ebonyladder.kernel.step import Step
from ebonyladder.types import RequestId

Served = Callable[[RequestId], Awaitable[CallerAnswer]]


class CallerCalls:
    """Run requests and count those under way.

    Parameters
    ----------
    gateway : Gateway
        Serves the requests.
    vm : str
        Name of this VM, for refusals that arose here.
    """

    def __init__(self, *, gateway: Gateway, vm: str) -> None:
        self.gateway = gateway
        self.vm = vm
        self.in_flight = 0
        self.idle = asyncio.Event()
        self.idle.set()

    async def run(self, served: Served) -> Reply:
        """Run one request and return its answer or refusal, encoded."""
        name = self.gateway.new_request_id()
        self.enter()
        try:
            return answer_reply(await served(name))
        except EbonyladderError as error:
            logging.debug("[callers] Request was refused. id=%s error=%s", name, error)
            return refusal_reply(error, name, self.vm)
        except Exception as error:  # noqa: BLE001
            logging.exception("[callers] Request failed. request_id=%s", name)
            failure = RequestError(
                code=ErrorCode.INTERNAL, step=Step.ANSWER, message=type(error).__name__
            )
            return refusal_reply(failure, name, self.vm)
        finally:
            self.leave()

    def enter(self) -> None:
        """Note work that a planned stop waits for."""
        self.in_flight += 1
        self.idle.clear()

    def leave(self) -> None:
        """Note that the work has ended."""
        self.in_flight -= 1
        if not self.in_flight:
            self.idle.set()

    def refuse(self, error: EbonyladderError) -> Reply:
        """Return the refusal of a request that does not run."""
        return refusal_reply(error, self.gateway.new_request_id(), self.vm)
