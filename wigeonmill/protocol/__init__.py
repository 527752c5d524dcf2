"""The protocol between the processes of wigeonmill."""
