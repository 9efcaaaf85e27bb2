"""An h11 echo on trio, the least that one side of a gateway can cost; for `benchmarks.request_cost`.

Owns nothing of the product, and loads nothing of it. It must never do more than answer.
"""

from __future__ import annotations

import h11
import trio


async def echo() -> None:
    """Answers each request with a short text, on a free port that it prints."""

    async def meet(stream: trio.SocketStream) -> None:
        http = h11.Connection(h11.SERVER)
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive_some())
            elif isinstance(event, h11.ConnectionClosed):
                return
            elif isinstance(event, h11.EndOfMessage):
                answer = h11.Response(status_code=200, headers=[("Content-Length", "4")])
                data = [http.send(answer), http.send(h11.Data(data=b"here")), http.send(h11.EndOfMessage())]
                await stream.send_all(b"".join(part or b"" for part in data))
                http.start_next_cycle()

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    print(listeners[0].socket.getsockname()[1], flush=True)
    await trio.serve_listeners(meet, listeners)


if __name__ == "__main__":
    trio.run(echo)
