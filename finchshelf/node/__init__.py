"""The real limiter: the admission module served on sockets. Started by `python -m finchshelf`."""
