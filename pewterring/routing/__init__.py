"""Choice of a worker for each request, by prefix caches, load and health, and what it depends on."""
