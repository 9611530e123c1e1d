"""The gateway program of the serving tier: client requests to workers, batch calls to stores."""
