"""Execution and count of callers' requests, over HTTP and WebSocket."""

import asyncio
from collections.abc import Awaitable, Callable

from absl import logging

from ebonyladder._caller_codec import Reply, answer_reply, error_reply
from ebonyladder.caller import CallerAnswer
from ebonyladder.gateway import Gateway
from ebonyladder.kernel.error import EbonyladderError, ErrorCode, RequestError
from ebonyladder.kernel.step import Step
from ebonyladder.types import RequestId

RequestHandler = Callable[[RequestId], Awaitable[CallerAnswer]]


class CallerCalls:
    """Run requests and count the work in flight.

    Parameters
    ----------
    gateway : Gateway
        Gateway that serves the requests.
    vm : str
        Name of this VM, the peer of errors that arise here.
    """

    def __init__(self, *, gateway: Gateway, vm: str) -> None:
        self.gateway = gateway
        self.vm = vm
        self.in_flight = 0
        self.idle = asyncio.Event()
        self.idle.set()

    async def run(self, handler: RequestHandler) -> Reply:
        """Run one request and return its encoded answer or error."""
        request_id = self.gateway.new_request_id()
        self.begin_work()
        try:
            return answer_reply(await handler(request_id))
        except EbonyladderError as error:
            logging.debug(
                "[callers] Request was refused. id=%s error=%s", request_id, error
            )
            return error_reply(error, request_id, self.vm)
        except Exception as error:  # noqa: BLE001
            logging.exception("[callers] Request failed. request_id=%s", request_id)
            failure = RequestError(
                code=ErrorCode.INTERNAL, step=Step.ANSWER, message=type(error).__name__
            )
            return error_reply(failure, request_id, self.vm)
        finally:
            self.end_work()

    def begin_work(self) -> None:
        """Count a request or transaction; a drain waits for its end."""
        self.in_flight += 1
        self.idle.clear()

    def end_work(self) -> None:
        """Count the end of a request or transaction."""
        self.in_flight -= 1
        if not self.in_flight:
            self.idle.set()

    def refuse(self, error: EbonyladderError) -> Reply:
        """Return the encoded error of a request that is not run."""
        return error_reply(error, self.gateway.new_request_id(), self.vm)
