"""Peers, configuration and drains."""
