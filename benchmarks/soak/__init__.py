"""Soak: a tier of real processes on loopback under drawn series of signals, restarts and changes.

    python -m benchmarks.soak [--seed 1] [--runs 50] [--gateways 2] [--stores 3] [--workers 3] [--events 4]
                              [--lost_disks 0] [--decommissioned 0] [--routes 0]

The series overlap. Clients go on using open connections until the process at the other end is gone. Workers
decline requests, send second answers late, reset connections and cannot run some items. With `--lost_disks`
that many stores lose their disks in turn; then all processes end at once, with one more disk lost, and the
clients read all results again. With `--decommissioned` stores are emptied and removed, each with another
disk lost right after. Each run is drawn from its seed; what the machine does with it is not, so a run shows a
fault more or less often. The exit status is 1 if a rule was broken.
"""
