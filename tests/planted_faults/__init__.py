"""Mutation tests of the control plane: each safety condition is removed in turn, and a test must notice it."""
