"""Run the command line with ``python -m wasabiturn``."""

from wasabiturn.management import main

if __name__ == '__main__':
    main()
