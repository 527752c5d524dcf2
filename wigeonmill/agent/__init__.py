"""The agent role: admits and runs the requests of one target."""
