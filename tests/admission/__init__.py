"""Tests of admission, without sockets."""
