"""``wasabiturn list-settings``: list the keys of a settings file."""

import typer

from wasabiturn.conf.describe import describe_keys


def list_settings() -> None:
    """List every key as a Markdown table: section, key, accepted, default."""
    typer.echo('| section | key | accepted | default |')
    typer.echo('|---|---|---|---|')
    for each in describe_keys():
        default = each.default or 'must be given'
        typer.echo(
            f'| {each.section} | {each.key} | {each.accepted} | {default} |',
        )
