# The program's own settings on the platform: nothing listens beyond the platform's port, nobody is talked to,
# and every limit is what the machine's size gives. docs/settings.md lists all keys.

# Begun streams that would outlast a process go on in the one that follows it, by way of $TMPDIR.
handover = true

# The list tells cores; this is what they do, by the middle of each kind's range of the yardstick speed.
speeds = { large = 2.0, medium = 1.2, small = 0.8 }
