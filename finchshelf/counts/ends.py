"""Which limiters have ended in order, by the life (incarnation) of each that said so.

Owns the newest life heard of at each address, and the one that ended there. It must never take the word of a
former life, late or doubled, for one of whoever runs at that address now.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

LIFE = 0xFFFFFFFF  # the part of a life's name that a datagram carries
Row = tuple[str, int]  # the address and the life of a limiter, as the list has them


def newer(life: int, other: int) -> bool:
    """Serial numbers (RFC 1982): the names of lives are moments, of which datagrams carry the low half."""
    return 0 < (life - other) & LIFE <= LIFE >> 1


class Ends:
    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}  # of limiters listed of late
        self.lives: dict[str, int] = {}  # by address
        self.over: dict[str, int] = {}  # by address: the life that ended

    def listed(self, rows: Mapping[str, Row], known: Collection[str]) -> None:
        """The list; `known`: the names that are on it or were of late."""
        self.rows.update((name, (host, life & LIFE)) for name, (host, life) in rows.items())
        self.rows = {name: row for name, row in self.rows.items() if name in known}
        hosts = {host for host, _ in self.rows.values()}
        self.lives = {host: life for host, life in self.lives.items() if host in hosts}
        self.over = {host: life for host, life in self.over.items() if host in hosts}
        for host, life in self.rows.values():
            self.hear(host, life)

    def hear(self, host: str, life: int) -> bool:
        """May a word of that life count? Not once it has said that it has ended.

        Danger: kept back on its way, its `NEAR` would put a limiter in touch that is none any more."""
        if self.over.get(host) == life:
            return False
        if host not in self.lives or newer(life, self.lives[host]):
            self.lives[host] = life
        return True

    def end(self, host: str, life: int) -> bool:
        """That life says that it has ended: does this release anything?

        Danger: another life runs at that address by now, and may let in its share."""
        if self.over.get(host) == life or self.lives.get(host, life) != life:
            return False
        self.lives[host] = self.over[host] = life
        return True

    def names(self) -> Iterable[str]:
        """Limiters listed of late whose life has ended, and of which no later one was heard."""
        if not self.over:
            return ()
        return [
            name
            for name, (host, life) in self.rows.items()
            if self.over.get(host) == life == self.lives.get(host)
        ]
