"""``bamboovale standin``: stand-ins for the platform's services and the endpoints.

Each command imports its own modules, so that an entry VM does not load the stand-ins.
"""

from typing import Annotated

import typer

app = typer.Typer(
    help="Run a stand-in of the platform or of an endpoint.",
    no_args_is_help=True,
)

Listen = Annotated[str, typer.Option(help="HOST:PORT to listen on; port 0 picks one.")]


@app.command()
def log(
    listen: Listen,
    appends_per_s: Annotated[float, typer.Option(help="Appends a second.")] = 300.0,
    retention_s: Annotated[float, typer.Option(help="Age of expiry.")] = 3600.0,
) -> None:
    """Run the append-only log service."""
    from bamboovale.standins import log, server

    server.serve_until_terminated(
        log.create_server(listen, appends_per_s, retention_s),
    )


@app.command()
def vms(
    listen: Listen,
    lag_s: Annotated[float, typer.Option(help="How late changes show.")] = 0.5,
) -> None:
    """Run the VM list."""
    from bamboovale.standins import server, vms

    server.serve_until_terminated(vms.create_server(listen, lag_s))


@app.command()
def weights(
    listen: Listen,
    loads_per_s: Annotated[float, typer.Option(help="Loads a second.")] = 5.0,
    full_speed: Annotated[int, typer.Option(help="Loads at full speed.")] = 2,
    load_seconds: Annotated[float, typer.Option(help="Time of one load.")] = 1.0,
) -> None:
    """Run the weight store."""
    from bamboovale.standins import server, weights

    server.serve_until_terminated(
        weights.create_server(listen, loads_per_s, full_speed, load_seconds),
    )


@app.command()
def engine(
    listen: Listen,
    engine_id: Annotated[str, typer.Option("--id", help="Its name in reports.")],
    base_model: Annotated[str, typer.Option(help="The model it serves.")],
    max_num_seqs: Annotated[int, typer.Option(help="Size of the batch.")] = 8,
    max_loras: Annotated[int, typer.Option(help="Adapter slots.")] = 4,
    step_ms: Annotated[float, typer.Option(help="Time of one token.")] = 20.0,
    weights: Annotated[str, typer.Option(help="URL of the weight store.")] = "",
    check_fencing: Annotated[
        bool,
        typer.Option("--check-fencing", help="Refuse orders with an old token."),
    ] = False,
    prefix_cache_blocks: Annotated[
        int,
        typer.Option(help="Blocks of 16 prompt tokens that it caches."),
    ] = 0,
) -> None:
    """Run a model engine."""
    from bamboovale.standins import engine, server

    settings = engine.EngineSettings(
        engine_id=engine_id,
        base_model=base_model,
        max_num_seqs=max_num_seqs,
        max_loras=max_loras,
        step_ms=step_ms,
        weights=weights,
        check_fencing=check_fencing,
        prefix_cache_blocks=prefix_cache_blocks,
    )
    server.serve_until_terminated(engine.create_server(listen, settings))


@app.command()
def service(
    listen: Listen,
    service_id: Annotated[str, typer.Option("--id", help="Its name in answers.")],
    latency_ms: Annotated[float, typer.Option(help="Time of one run.")] = 20.0,
) -> None:
    """Run a plain service."""
    from bamboovale.standins import server, service

    server.serve_until_terminated(
        service.create_server(listen, service_id, latency_ms),
    )


@app.command()
def relay(
    listen: Listen,
    target: Annotated[str, typer.Option(help="HOST:PORT to pass bytes on to.")],
    control: Annotated[
        str,
        typer.Option(help="HOST:PORT of its rules."),
    ] = "127.0.0.1:0",
) -> None:
    """Run a TCP relay that can cut links by source address."""
    from bamboovale.standins import relay, server

    stopping = server.catch_termination()
    link_relay, rules = relay.create_relay(listen, target, control)
    print(f"listening on {link_relay.start()}", flush=True)
    print(f"control on {rules.start_serving()}", flush=True)
    stopping.wait()
