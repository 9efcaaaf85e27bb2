"""A client of the fleet in memory.

Owns its connections and tells the judge what it was answered. It must never know more of the fleet than its
addresses.
"""

from __future__ import annotations

import trio

from finchshelf.simulation.conversation import Cut, Garbled, Talk, talk
from finchshelf.simulation.judge import Asked, Judge
from finchshelf.simulation.network import Life, now
from finchshelf.transport.address import Address


class Client:
    """One client in a zone: keeps connections, or opens a fresh one for each try."""

    def __init__(self, life: Life, judge: Judge) -> None:
        self.life, self.judge, self.random = life, judge, life.random
        self.idle: dict[Address, list[Talk]] = {}

    async def ask(
        self,
        front: Address,
        host: str,
        path: str,
        key: str = "",
        *,
        mutating: bool = False,
        body: bytes = b"",
        wait: float = 2.0,
        fresh: bool = False,
        patience: float = 0.0,
    ) -> Asked:
        """One try, told to the judge; `patience`: s that it listens beyond the time that it tells."""
        name = f"{self.random.getrandbits(64):016x}"
        method = "POST" if mutating else "GET"
        path = f"{path}{name[:4]}"
        asked = Asked(name, front.host, host, path, method, body, key, mutating, now(), wait)
        self.judge.asked[name] = asked
        headers = [("Host", host), ("Trial-Id", name), ("Remaining-Ms", str(int(wait * 1000)))]
        if key:
            headers.append(("Authorization", f"Token {key}"))
        line = None if fresh else self.kept(front)
        try:
            with trio.fail_after(wait + patience):
                if line is None:
                    with trio.fail_after(1.0):
                        line = await talk(front)
                asked.limiter_heard = True
                reply = await line.ask(method, path, headers, body)
            self.judge.answer(asked, reply.status, reply.headers, reply.body)
        except (Cut, OSError, trio.TooSlowError) as error:
            asked.why, asked.answered = repr(error), now()
            asked.cut = isinstance(error, Cut)
            if isinstance(error, Garbled):
                self.judge.fault("MIXED", f"{name} got bytes that are no answer: {error}")
        finally:
            if line is not None:
                if line.open and not fresh:
                    self.idle.setdefault(front, []).append(line)
                else:
                    line.close()
        return asked

    def kept(self, front: Address) -> Talk | None:
        stack = self.idle.get(front, [])
        while stack:
            line = stack.pop()
            if line.stream.silent():
                return line
            inbox = bytes(getattr(line.stream, "inbox", b""))
            if b"HTTP/1.1 2" in inbox:
                self.judge.fault("MIXED", "a success on a connection where no request waits")
            line.close()
        return None
