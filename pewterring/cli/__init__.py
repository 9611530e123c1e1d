"""The command line: sub-commands on argparse.

`serve` and the tier's programs do not come this way (see `__main__`).
"""
