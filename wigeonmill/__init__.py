"""Serves language-model prompts that return after long silences."""
