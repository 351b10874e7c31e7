"""What control costs at which size: whole fleets of the very same daemons on virtual time, metered by role."""
