"""The users' platform: its names, formats and calls, translated into our types.

Nothing here decides. Nothing outside this folder knows these names.
"""
