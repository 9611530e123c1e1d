"""The standalone gateway of older deployments, which runs without a control group: `pewterring serve`."""
