"""An event is lost that comes in one piece with a spoilt one."""

from pathlib import Path

from review.harness2.site import run
from review.harness2.spoilt import Spoiling, play

PAIRS_WITHOUT_LENGTH = Spoiling(
    events_a_write=2, has_length=False, spoilt_event=6, wrong_id=0
)


async def case(folder: Path) -> int:
    """Play the case; return its exit status."""
    return await play(folder, PAIRS_WITHOUT_LENGTH)


if __name__ == "__main__":
    run(case, str(Path(__file__).parent))
