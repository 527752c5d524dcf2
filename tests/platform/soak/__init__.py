"""A fault soak of the gateway: real processes with faults from outside."""
