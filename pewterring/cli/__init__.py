"""The command line: sub-commands on click. `serve` does not come this way (see __main__)."""
