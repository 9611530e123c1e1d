"""The command line: sub-commands built on argparse.

`__main__` starts `serve` and the programs of the serving tier directly, without argparse.
"""
