"""Tests of tenants."""
