"""Agreement's acceptor and proposer, each able to lack guards that the real ones have.

Owns how a guard is dropped, for the search of `states.py`. With nothing lacking they must be the real ones.
"""

from __future__ import annotations

from finchshelf.agreement import core

GUARDS = {
    "early": "a reply doesn't wait for the disk",
    "repeat": "a reply to a repeated question doesn't wait for the disk",
    "wiped": "a wiped disk keeps its name",
    "stranger": "a reply counts whichever disk of the address gave it",
    "unnamed": "a disk votes that no value names",
    "behind": "a member votes for a slot before it learned the value of the one before",
    "hasty": "a new member's vote counts for the value that names it",
    "forgetful": "what members accepted is not looked at",
    "lowest": "what members accepted is taken, but not that of the highest ballot",
    "equal": "a ballot is promised twice",
    "lower": "a ballot is accepted below the one promised",
    "minority": "one answer fewer than a majority is enough",
    "one read": "one member's answer to a read is enough",
    "accepted unread": "a read doesn't look at what was accepted",
    "given up": "an operator whose change was given up is told that it is refused",
    "twice": "a second disk is wiped before the first one's new name is a member",
    "unsettled": "a second disk is wiped before a majority has the value that names the first one's",
}


class Acceptor(core.Acceptor):
    lacks: frozenset[str] = frozenset()

    def handle(self, message: core.Message) -> tuple[core.Message, bool]:
        before = self.revision
        reply, dirty = super().handle(message)
        if "early" in self.lacks or ("repeat" in self.lacks and self.revision == before):
            dirty = False
        return reply, dirty

    def _answer(self, message: core.Message) -> core.Message:
        if message["kind"] not in ("prepare", "accept"):
            return super()._answer(message)
        ballot, before = core.Ballot(*message["ballot"]), self.decided
        if "equal" in self.lacks and message["kind"] == "prepare" and ballot == self.promised:
            self.promised = core.NO_BALLOT
        if "lower" in self.lacks and message["kind"] == "accept" and ballot < self.promised:
            self.promised = core.NO_BALLOT
        if "behind" in self.lacks and message["slot"] > self._slot() + 1:
            self.decided = core.Value(message["slot"] - 1, (self.me,))
        try:
            return super()._answer(message)
        finally:
            self.decided = before

    def _may_vote(self) -> bool:
        return "unnamed" in self.lacks or super()._may_vote()


class Proposer(core.Proposer):
    lacks: frozenset[str] = frozenset()

    def _found(self) -> core.Value | None:
        held = [each for each in self._promises.values() if each is not None]
        if "forgetful" in self.lacks or not held:
            return None
        return min(held)[1] if "lowest" in self.lacks else super()._found()

    def _needed(self) -> int:
        return super()._needed() - ("minority" in self.lacks)
