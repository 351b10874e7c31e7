"""Tests of the control plane's parts."""
