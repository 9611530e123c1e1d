"""Segmented log and snapshots on a small disk interface; the only package that syncs files.

Rules of durability:

- The content of a file survives a power loss once the file has been synced (`fdatasync`). Nothing is
  acknowledged before that.
- A change of a file's name (creation, rename, removal) survives a power loss once the folder has been synced
  (`fsync` of the folder). A new segment is therefore valid only after its own sync and the folder's. A
  snapshot or identity file is written under a temporary name, synced and renamed, and then the folder is
  synced, so that a file found under its final name after a crash is complete.
- Removals are not synced, except the removal of a segment that could not be started. A removed file may
  reappear after a power loss. The newest snapshot names the first segment that is still valid, so the next
  load recognises reappeared files and removes them.
- A process may have been killed between a write and its sync. A load therefore syncs everything that it reads
  before relying on it; otherwise it would act on bytes that a later power loss can remove.
- After a failed sync the operating system may have dropped the bytes and may still report the next sync as
  successful. Any error other than a full disk therefore stops all writing until the files are read again
  (`fail_stop`).
"""
