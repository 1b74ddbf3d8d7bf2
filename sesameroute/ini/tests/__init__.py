"""Tests of sesameroute.ini."""
