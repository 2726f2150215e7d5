"""Replay of traces in virtual time."""
