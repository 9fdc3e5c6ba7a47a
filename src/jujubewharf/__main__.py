"""Runs the command line as ``python -m jujubewharf``."""

from jujubewharf.commands import main

if __name__ == "__main__":
    main.main()
