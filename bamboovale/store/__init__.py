"""What entry VMs read from, keep of and write to the metadata store.

The store answers with records of topics in the order of positions, and with the
membership of groups. It may be away, answer some VMs only, lose answers, forget its
history, and return from an older copy.
"""
