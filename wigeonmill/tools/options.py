"""Options shared by several commands."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from wigeonmill.tools.session import ServiceOptions

JsonFlag = Annotated[bool, cappa.Arg(long=True, help='Print JSON.')]
ServiceOptionsArg = Annotated[ServiceOptions, cappa.Arg(destructure=True)]


@dataclass(frozen=True, slots=True)
class ApplyOptions:
    """Options of every command that submits a change."""

    json: JsonFlag = False
    wait: Annotated[
        bool,
        cappa.Arg(
            long=True, help='Wait until all processes have it in force.'
        ),
    ] = False
    wait_timeout: Annotated[
        float, cappa.Arg(long=True, help='Maximum wait in seconds.')
    ] = 60.0
    force: Annotated[
        bool, cappa.Arg(long=True, help='Apply despite forceable faults.')
    ] = False


ApplyOptionsArg = Annotated[ApplyOptions, cappa.Arg(destructure=True)]
