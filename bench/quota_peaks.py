"""``python -m bench.quota_peaks``: a customer's peak, with faults, in virtual time.

Prints a table for each fleet, rate, height of the peak and fault: the largest window
against the bound; what is refused during the peak; what is refused after it in all,
although the window had room, and although all that callers sent fits the limit; what
is refused again on its return after the peak; messages a second.
"""

from collections.abc import Callable

from bench.quota_simulation import Limit, Load, QuotaSimulation

FLEETS = ((6, 6), (89, 34), (300, 120))
RATES = (7_400.0, 40_000.0, 220_000.0)
FACTORS = (3.0, 6.7)
USUAL_SHARE = 1 / 1.8
PEAK_FROM_S, PEAK_UNTIL_S, END_S = 10.0, 17.0, 32.0
AFTER_S = PEAK_UNTIL_S + 1.0

Fault = Callable[[QuotaSimulation], None]


def no_fault(played: QuotaSimulation) -> None:
    """Let all VMs run."""


def reject_account(played: QuotaSimulation) -> None:
    """Move the account twice, while its VMs are rejected by the store but live."""
    played.run_until(6.0)
    played.reject_account(next_vm=1)
    played.run_until(15.0)
    played.reject_account(next_vm=2)


def reject_in_peak(played: QuotaSimulation) -> None:
    """Move the account early in the peak."""
    played.run_until(PEAK_FROM_S + 1.1)
    played.reject_account(next_vm=1)


def lose_account(played: QuotaSimulation) -> None:
    """End the VM with the account during the peak."""
    played.run_until(PEAK_FROM_S + 4.0)
    played.kill_account(next_vm=1)


def cut_halves(played: QuotaSimulation) -> None:
    """Cut the fleet into halves for 8 s."""
    played.run_until(PEAK_FROM_S + 1.0)
    played.cut_off = set(range(1, len(played.meters), 2))
    played.run_until(PEAK_FROM_S + 9.0)
    played.cut_off = set()


def freeze_a_third(played: QuotaSimulation) -> None:
    """Suspend a third of the VMs for 3 s, the one with the account among them."""
    played.run_until(PEAK_FROM_S + 1.0)
    played.freeze(list(range(0, len(played.meters), 3)), 3.0)
    played.reject_account(next_vm=1)


def kill_all(played: QuotaSimulation) -> None:
    """End all VMs at once."""
    played.run_until(PEAK_FROM_S + 2.0)
    played.kill_all()


FAULTS = (
    no_fault,
    reject_account,
    reject_in_peak,
    lose_account,
    cut_halves,
    freeze_a_third,
    kill_all,
)


def play(
    fleet: tuple[int, int],
    rate: float,
    factor: float,
    fault: Fault,
    *,
    clump: int = 1,
    seed: int = 1,
) -> QuotaSimulation:
    """Play a peak of a customer whose burst is one second of its rate.

    ``fleet`` is the number of VMs and of those that carry requests, ``factor`` the
    height of the peak as a multiple of the usual demand.
    """

    def demand(now: float) -> float:
        is_peak = PEAK_FROM_S <= now < PEAK_UNTIL_S
        return rate * USUAL_SHARE * (factor if is_peak else 1.0)

    vms, active = fleet
    played = QuotaSimulation(
        vms,
        Limit(rate, rate),
        Load(demand, clump=clump),
        seed,
        active_vms=active,
        returns=True,
    )
    fault(played)
    played.run_until(END_S)
    return played


def main() -> None:
    """Print the table."""
    columns = ["VMs", "tokens/s", "demand", "fault", "window", "peak"]
    columns += ["after", "had room", "fits", "again", "msg/s"]
    print("| " + " | ".join(columns) + " |")
    print("|---" * len(columns) + "|")
    for fleet in FLEETS:
        for rate in RATES:
            for factor in FACTORS:
                for fault in FAULTS:
                    print(_row(fleet, rate, factor, fault))


def _row(fleet: tuple[int, int], rate: float, factor: float, fault: Fault) -> str:
    played = play(fleet, rate, factor, fault)
    outcome, limit = played.outcome, played.limit
    shares = [
        outcome.refused_share(PEAK_FROM_S, PEAK_UNTIL_S),
        outcome.refused_share(AFTER_S, END_S),
        outcome.refused_within_limit(limit, AFTER_S, END_S),
        outcome.refused_of_small_demand(limit, AFTER_S, END_S),
        outcome.refused_again_share(AFTER_S, END_S),
    ]
    columns = [
        f"{fleet[0]} ({fleet[1]})",
        f"{rate:,.0f}",
        f"x{factor:g}",
        fault.__name__.replace("_", " "),
        f"{outcome.largest_window() / limit.most_in_window():.2f}",
        *(f"{share:.3f}" for share in shares),
        f"{outcome.messages / END_S:.0f}",
    ]
    return "| " + " | ".join(columns) + " |"


if __name__ == "__main__":
    main()
