"""Tests of routing, most of them without sockets."""
