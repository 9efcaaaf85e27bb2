"""What a process is told: its settings file, and the operator's configurations.

Owns the way from text and bytes to checked forms. It must never talk to a peer, keep a document, or decide
which of two versions wins.
"""
