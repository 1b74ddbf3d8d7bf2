"""Slots, links, shift caps and budgets."""
