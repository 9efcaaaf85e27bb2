"""The forms of what processes of the project say to each other: which text reads which.

Owns their numbers. A process names the newest form that its text reads; one that names none reads the first.
"""

from __future__ import annotations

OLDEST_FORM = 1
ORDERS_FORM = 2  # in it a value remembers orders in the second form
TRANSITIONS_FORM = 3  # in it a value may hold transitions, and a server's record its version
FORM = TRANSITIONS_FORM  # that this text reads
