"""Models of the decisions: every state, or random lives, of what the programs' own decisions can come to.

They play the real code of `agreement`, `membership` and `counts` against harm, and look at each promise as an
invariant; a guard dropped (a mutant) must be found. No program imports them.
"""
