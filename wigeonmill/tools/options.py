"""Options that several commands share."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from wigeonmill.tools.session import ServiceOptions

JsonFlag = Annotated[bool, cappa.Arg(long=True, help='Print JSON.')]
Services = Annotated[ServiceOptions, cappa.Arg(destructure=True)]


@dataclass(frozen=True, slots=True)
class ApplyOptions:
    """Options of every command that makes a change."""

    json: JsonFlag = False
    wait: Annotated[
        bool, cappa.Arg(long=True, help='Wait until in force everywhere.')
    ] = False
    wait_timeout: Annotated[
        float, cappa.Arg(long=True, help='Seconds to wait at most.')
    ] = 60.0
    force: Annotated[
        bool, cappa.Arg(long=True, help='Pass over forceable faults.')
    ] = False


Applying = Annotated[ApplyOptions, cappa.Arg(destructure=True)]
