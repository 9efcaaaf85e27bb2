"""Adapter: plays the admission logic over the bench's text wire on standard input and output."""
