"""Agreement of the control-plane machines on one small register: a chain of decided values.

Owns which value each slot of the chain holds. It must never decide what a value means.
"""
