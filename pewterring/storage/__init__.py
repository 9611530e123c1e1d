"""Segmented log and snapshots on a small disk interface; the only package that syncs files."""
