"""The gateway of the serving tier: forwards live requests to workers and batch calls to stores."""
