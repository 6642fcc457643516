"""Entry point of ``python -m bamboovale`` and of the packaged binary."""

from bamboovale.cli.main import app


def main() -> None:
    """Run the command line."""
    app(prog_name="bamboovale")


if __name__ == "__main__":
    main()
