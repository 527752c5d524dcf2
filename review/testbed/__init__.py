"""A small deployment on loopback addresses for the scripts of the review."""
