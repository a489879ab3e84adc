# The program's own settings on the platform: nothing listens beyond the platform's port, nobody is talked to,
# and every limit is what the machine's size gives. docs/settings.md lists all keys.
