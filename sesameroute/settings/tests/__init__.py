"""Tests of sesameroute.settings."""
