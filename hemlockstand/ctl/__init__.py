"""The hemlockctl command-line tool."""
