"""Faults in a settings file."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """A fault: the path of the key, its value, and what to write instead."""

    key: str
    value: str
    advice: str

    def __str__(self) -> str:
        return f'{self.key} = {self.value}: {self.advice}'
