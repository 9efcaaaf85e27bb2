"""The careful roll-out: a change of policy reaches site after site, onward only on evidence.

Owns the decisions: plan, evidence, statistics, steps. It must never open a socket: `cli/keeper.py` does.
"""
