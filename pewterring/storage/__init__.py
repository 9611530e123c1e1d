"""Segmented log and snapshots on a small disk interface; the only package that syncs files.

What is synced, and when:

- The bytes of a file outlast a loss of power once the file is synced (`fdatasync`). Nothing is acknowledged
  before.
- A file's name (created, renamed, removed) outlasts it once the folder is synced (`fsync` of the folder). So
  a new segment counts after its own sync and the folder's, and a snapshot or identity after this order: write
  under a temporary name, sync, rename, sync the folder. Whoever finds the file after a crash finds it
  complete.
- Removals are not synced, but for that of a segment that could not be started. A removed file may come back;
  the newest snapshot names the first segment that counts, so what comes back is recognised and removed at the
  next load.
- A process may have been killed between a write and its sync. Whatever a load reads it syncs before it relies
  on it: otherwise it would act on bytes that a later loss of power takes away.
- After a failed sync the operating system may have dropped the bytes and report the next sync as good. So an
  error other than a full disk stops all writing until the files are read again (`fail_stop`).
"""
