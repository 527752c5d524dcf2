"""Small stand-ins of the platform's services and targets."""
