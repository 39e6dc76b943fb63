"""How the VMs act together: leader, followers, standbys, relays and their records."""
