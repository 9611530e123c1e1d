"""Choice of route and worker: prefix caches, load, health."""
