"""Streams that go on after a break: which software began them, and where they may.

Engines of several software versions serve side by side, and what two versions write
does not fit together. Engines do not check this.
"""
