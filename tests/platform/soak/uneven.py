"""Entries that differ: what each one's settings say."""

# Share of the credit per MB, large enough to matter for short bodies.
DOMAIN_TRANSFER_COST = 20.0


def uneven_settings(name):
    """Return settings of an entry; every second one has a price of domains.

    So updates of both kinds of rotation meet.
    """
    priced = name[-1:] in '02468'
    return {'domain_transfer_cost': DOMAIN_TRANSFER_COST if priced else 0.0}
