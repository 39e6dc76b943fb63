"""Stand-in for the platform's object store: HTTP, versions, watches and VM list."""

import asyncio
import random
from collections import Counter

import fire
import uvloop
from aiohttp import web

MAX_VALUE_BYTES = 1_000_000
MAX_WATCH_S = 60.0
LOST_ANSWER_STATUS = 598


class StoreServer:
    """Store of objects in memory, served over HTTP.

    Parameters
    ----------
    delay_s : float
        Mean time of a call, in seconds.
    """

    def __init__(self, *, delay_s: float = 0.002) -> None:
        self.delay_s = delay_s
        self.objects: dict[str, tuple[int, bytes]] = {}
        self.version = 0
        self.vms: list = []
        self.vms_lag_s = 1.0
        self.is_down = False
        self.lose_answers = 0
        self.calls: Counter[str] = Counter()
        self.changed = asyncio.Event()

    def application(self) -> web.Application:
        """Return the web application."""
        app = web.Application(
            client_max_size=2 * MAX_VALUE_BYTES, middlewares=[self.apply_faults]
        )
        app.router.add_get("/objects/{key:.+}", self.get)
        app.router.add_put("/objects/{key:.+}", self.put)
        app.router.add_delete("/objects/{key:.+}", self.delete)
        app.router.add_get("/list", self.list)
        app.router.add_get("/watch/{key:.+}", self.watch)
        app.router.add_get("/vms", self.get_vms)
        app.router.add_post("/control", self.control)
        app.router.add_get("/calls", self.get_calls)
        return app

    @web.middleware
    async def apply_faults(self, request: web.Request, handler) -> web.StreamResponse:
        """Count the call, then apply the outage, the delay and the lost answers."""
        if request.path in ("/control", "/calls"):
            return await handler(request)
        self.calls[request.path.split("/")[1] + ":" + request.method] += 1
        if self.is_down:
            raise web.HTTPServiceUnavailable(text="store is down")
        await asyncio.sleep(self.delay_s * random.uniform(0.5, 1.5))
        response = await handler(request)
        if self.is_down:
            raise web.HTTPServiceUnavailable(text="store is down")
        if request.method in ("PUT", "DELETE") and self.lose_answers:
            self.lose_answers -= 1
            request.transport.close()
        return response

    def _notify_changed(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def _object_response(version: int, value: bytes) -> web.Response:
        return web.Response(body=value, headers={"X-Version": str(version)})

    async def get(self, request: web.Request) -> web.Response:
        """Return one object."""
        stored = self.objects.get(request.match_info["key"])
        if stored is None:
            raise web.HTTPNotFound
        return self._object_response(*stored)

    def _require_version(self, request: web.Request) -> str:
        key = request.match_info["key"]
        current = self.objects.get(key, (0, b""))[0]
        if current != int(request.headers["X-Expected-Version"]):
            raise web.HTTPConflict(text=str(current))
        return key

    async def put(self, request: web.Request) -> web.Response:
        """Write one object if its version is the expected one."""
        value = await request.read()
        if len(value) > MAX_VALUE_BYTES:
            raise web.HTTPRequestEntityTooLarge(MAX_VALUE_BYTES, len(value))
        key = self._require_version(request)
        self.version += 1
        self.objects[key] = (self.version, value)
        self._notify_changed()
        return self._object_response(self.version, b"")

    async def delete(self, request: web.Request) -> web.Response:
        """Delete one object if its version is the expected one."""
        del self.objects[self._require_version(request)]
        self._notify_changed()
        return web.Response()

    async def list(self, request: web.Request) -> web.Response:
        """Return the objects whose keys have a prefix."""
        prefix = request.query["prefix"]
        return web.json_response(
            [
                {"key": key, "version": version, "value": value.decode("latin-1")}
                for key, (version, value) in sorted(self.objects.items())
                if key.startswith(prefix)
            ]
        )

    async def watch(self, request: web.Request) -> web.Response:
        """Wait for a newer version of one object."""
        key = request.match_info["key"]
        after = int(request.query["after"])
        try:
            async with asyncio.timeout(
                min(float(request.query["wait_s"]), MAX_WATCH_S)
            ):
                while self.objects.get(key, (0, b""))[0] <= after:
                    if self.is_down:
                        raise web.HTTPServiceUnavailable(text="store is down")
                    await self.changed.wait()
        except TimeoutError:
            return web.Response(status=204)
        return self._object_response(*self.objects[key])

    async def get_vms(self, _request: web.Request) -> web.Response:
        """Return the list of VMs."""
        return web.json_response(self.vms)

    async def control(self, request: web.Request) -> web.Response:
        """Set the VM list, the outage, the delay or the number of answers to lose."""
        body = await request.json()
        if "vms" in body:
            asyncio.get_running_loop().call_later(
                body.get("vms_lag_s", 0.0), setattr, self, "vms", body["vms"]
            )
        for name in ("is_down", "delay_s", "lose_answers"):
            if name in body:
                setattr(self, name, body[name])
        self._notify_changed()
        return web.json_response({})

    async def get_calls(self, _request: web.Request) -> web.Response:
        """Return the number of calls by kind."""
        return web.json_response(self.calls)


async def serve(host: str, port: int, delay_ms: float) -> None:
    """Serve until the process ends."""
    runner = web.AppRunner(StoreServer(delay_s=delay_ms / 1000).application())
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    await asyncio.Event().wait()


def main(port: int, host: str = "127.0.0.1", delay_ms: float = 2.0) -> None:
    """Run the store stand-in.

    Parameters
    ----------
    port : int
        Port to listen on.
    host : str
        Address to listen on.
    delay_ms : float
        Mean time of a call, in milliseconds.
    """
    uvloop.run(serve(host, port, delay_ms))


if __name__ == "__main__":
    fire.Fire(main)
