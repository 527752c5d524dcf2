"""Serve language-model prompts that resume after long pauses."""
