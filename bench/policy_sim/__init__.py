"""Simulated components, traces and policies of the policy benchmark."""
