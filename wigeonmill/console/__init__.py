"""The web console for operators."""
