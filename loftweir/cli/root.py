"""The root of the command line: the commands and their modules."""

from __future__ import annotations

from importlib import import_module

import click

from loftweir import __version__

# A command's module is imported only when it is needed, so that `run` does not load the modules of the others.
COMMANDS = {
    "run": ("loftweir.cli.run:run", "Run one sidecar."),
    "check": ("loftweir.cli.check:check", "Check the whole configuration without starting."),
    "config": ("loftweir.cli.config:config", "Show, document and compare configurations."),
    "explain": ("loftweir.cli.explain:explain", "Show where requests would be sent, and why not elsewhere."),
    "log": ("loftweir.cli.logs:log", "Read a structured log: filter, format, count."),
    "emulate": ("loftweir.cli.emulate:emulate", "Run scenarios in virtual time against the balancer."),
    "try": ("loftweir.cli.attempt:attempt", "Run a sidecar with stand-in providers, to try it out."),
}
EPILOG = """\b
Exit codes: 0 done; 1 a fault of the program, or Ctrl-C; 2 the arguments or the configuration are wrong, or the start
failed.
Completion for bash: eval "$(_LOFTWEIR_COMPLETE=bash_source loftweir)"; likewise for zsh and fish."""


class LazyGroup(click.Group):
    """A group of commands whose modules are imported when they are called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands in the order of the help."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import a command's module and return the command; None if there is no such command."""
        if cmd_name not in COMMANDS:
            return None
        module, _, name = COMMANDS[cmd_name][0].partition(":")
        command = getattr(import_module(module), name)
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the list of commands without importing their modules."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, about) for name, (_, about) in COMMANDS.items()])


@click.command(cls=LazyGroup, epilog=EPILOG, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, message="%(prog)s %(version)s")
def loftweir() -> None:
    """A sidecar that sends each request of its clients to the provider that its decision module chooses.

    \b
    Examples:
      loftweir try                      a sidecar and stand-ins on free ports
      loftweir check --config c.json    all faults of a configuration
      loftweir run --config c.json --log-format console
    """
