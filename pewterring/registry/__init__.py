"""What is known of workers: registrations, incarnations, drains."""
