"""Loop over batches: one limiter per instance, nothing shared between them."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import TextIO

from finchshelf.admission import interface as i
from finchshelf.admission.limiter import Limiter
from finchshelf.drill import codec


class Drill:
    """All instances of this process."""

    def __init__(self) -> None:
        self.limiters: dict[int, Limiter] = {}
        self.lists: dict[int, tuple[i.Server, ...]] = {}
        self.line = 0

    def read(self, source: TextIO) -> Iterator[str]:
        for raw in source:
            self.line += 1
            yield raw.rstrip("\r\n")

    def run(self, source: TextIO, sink: TextIO) -> None:
        lines = self.read(source)
        for text in lines:
            if not text:
                continue
            name, fields = codec.split_line(text)
            if name != "BEGIN_BATCH":
                raise codec.WireError(f"expected BEGIN_BATCH, got {name[:40]!r}")
            reply = self.batch(codec.seconds(fields, "sim-time"), lines)
            if reply is None:
                return
            sink.write("\n".join([*reply, "FINISHED\n"]))
            sink.flush()

    def batch(self, now: float, lines: Iterator[str]) -> list[str] | None:
        """The reply to one batch; None when the input ends inside it."""
        reply: list[str] = []
        for text in lines:
            name, fields = codec.split_line(text)
            if name == "EOF_BATCH":
                return reply
            if name == "REGISTER":
                rows = codec.integer(fields, "rows")
                number = codec.integer(fields, "buffer")
                servers = self.rows(rows, lines)
                if servers is None:
                    return None
                self.lists[number] = servers
                continue
            who = codec.integer(fields, "limiter")
            if name == "OPEN_INSTANCE":
                setup = codec.settings(codec.word(fields, "setup"))
                self.limiters[who] = Limiter(setup, codec.integer(fields, "nonce64", 0), now)
                reply += [codec.action(who, act) for act in self.limiters[who].start()]
                continue
            if name == "DETACH":
                self.limiters.pop(who, None)
                continue
            limiter = self.limiters.get(who)
            if limiter is None:
                raise codec.WireError(f"expected OPEN_INSTANCE of limiter {who} first")
            if name == "WHISPER":
                event: i.Event = codec.heard(fields, limiter.settings)
            else:
                event = self.members(fields) if name == "ROSTER_CHANGE" else codec.event(name, fields)
            if isinstance(event, i.Request):
                codec.known_request(event, limiter.settings)
            reply += [codec.action(who, act) for act in limiter.handle(event, now)]
        return None

    def rows(self, count: int, lines: Iterator[str]) -> tuple[i.Server, ...] | None:
        servers: list[i.Server] = []
        for _ in range(count):
            text = next(lines, None)
            if text is None:
                return None
            name, fields = codec.split_line(text)
            if name != "M":
                raise codec.WireError(f"expected a list entry M, got {name[:40]!r}")
            servers.append(codec.server(fields))
        return tuple(servers)

    def members(self, fields: dict[str, str]) -> i.Members:
        kind = codec.list_kind(fields)
        if kind is i.ListKind.FAILED:
            return i.Members(kind)
        number = codec.integer(fields, "buffer")
        if number not in self.lists:
            raise codec.WireError(f"expected REGISTER buffer={number} first")
        return i.Members(kind, self.lists[number])


def main() -> int:
    drill = Drill()
    try:
        drill.run(sys.stdin, sys.stdout)
    except codec.WireError as error:
        print(f"line {drill.line}: {error}", file=sys.stderr)
        return 2
    except UnicodeDecodeError:
        print(f"line {drill.line + 1}: expected UTF-8 text", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
