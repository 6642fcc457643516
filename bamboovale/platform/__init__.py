"""Translation between the users' platform and the types of the gateway.

Names, formats and calls of the platform are used in this package only. It holds no
decision logic.
"""
