"""Tests of sesameroute.submission."""
