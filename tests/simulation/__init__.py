"""The control group in closed loop and in virtual time, against an adversary inside the fault tolerance."""
