"""The inner protocol between wigeonmill's processes."""
