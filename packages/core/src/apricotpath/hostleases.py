"""What the latest end of the leases of a host's runs is known from."""

from enum import Enum


class LeaseBasis(Enum):
    """What the latest end of a host's leases is known from."""

    NONE = "none"
    GRANT = "grant"
    ATTACHMENT = "attachment"
    RECORD = "record of the last scheduler"
    PREDECESSOR_ENDED = "end of the last scheduler"
    ASSUMPTION = "assumption"
