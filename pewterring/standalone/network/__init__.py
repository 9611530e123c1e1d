"""Sockets: clients, workers, discovery and peers, each in a module of its own. Nothing decides here."""
