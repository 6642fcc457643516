"""Places at plain endpoints that one VM grants to all entry VMs."""
