"""Stand-ins and a small fleet of gateways for the cases of this review."""
