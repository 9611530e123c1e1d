"""The gateway of older deployments, which needs no control group: `pewterring serve`."""
