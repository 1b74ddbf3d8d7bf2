"""Scripts of the second review, with their stand-ins."""
