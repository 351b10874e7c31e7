"""Each condition that the control plane's promises rest on, taken out on purpose, and what notices."""
