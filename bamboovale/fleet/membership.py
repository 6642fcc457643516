"""Which entry VMs live, agreed from the words of several observers.

Load pattern: hundreds of VMs, some of which are frozen, slow or cut off at any time,
also in one direction only. If each VM watched all others, messages would grow with the
square of the fleet; if one observer's word counted, a slow observer or one cut link
would throw out a VM that serves. Each VM is watched by its neighbours; it is out once
two of them do not hear it, and it contradicts if it lives (refutation as in SWIM: Das
et al., "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol", 2002).
"""

import hashlib
from dataclasses import dataclass, replace
from typing import Any

from bamboovale.fleet.changes import ChangeLog
from bamboovale.fleet.messages import Member, SuspectRequest, Suspicion
from bamboovale.fleet.rings import Rings

WORDS_NEEDED = 2
"""Observers that must not hear a VM: one may be slow, cut off in one direction or
wrong. What only we do not hear is still not live for us."""
CONTACT_S = 3.0
"""A VM that was registered and is not heard of by then is not there."""
FORGET_S = 60.0
"""A VM that is out is known for so long: its late words are told from a new start."""
MOST_MEMBERS = 4096
"""VMs known at once; bounds what a malformed or hostile message can add."""

Change = Member | Suspicion | SuspectRequest


@dataclass
class _Known:
    """A VM that has told of itself, at some time; ``out_at`` None: it lives."""

    member: Member
    out_at: float | None = None


@dataclass(frozen=True)
class _Contact:
    """A VM of which only the address is known, since when."""

    address: tuple[str, int]
    since: float


class Membership:
    """Aggregate of all entry VMs, as one of them believes; no sockets, no clock.

    ``version`` rises with each change of who lives or of what a live VM tells.
    """

    def __init__(self, own: Member, changes: ChangeLog[Change]) -> None:
        self.own = own
        self.version = 0
        self.digest = _sum_of(own)
        self.rings = Rings()
        self.rings.add(own.vm_id)
        self._changes = changes
        self._known_by_id: dict[str, _Known] = {}
        self._contact_by_id: dict[str, _Contact] = {}
        self._lapsed_by_id: dict[str, tuple[str, int]] = {}
        self._words_by_id: dict[str, dict[str, Suspicion]] = {}
        self._unheard_by_us: set[str] = set()
        self._changes.put(("member", own.vm_id), own)

    # What is known.

    def is_live(self, vm_id: str) -> bool:
        """Tell whether a VM lives and, as far as we watch it, is heard by us."""
        if vm_id == self.own.vm_id:
            return True
        known = self._known_by_id.get(vm_id)
        if known is None or known.out_at is not None:
            return False
        return vm_id not in self._unheard_by_us

    def live(self) -> list[Member]:
        """Return the VMs that live, without ourselves."""
        return [
            known.member
            for vm_id, known in self._known_by_id.items()
            if known.out_at is None and vm_id not in self._unheard_by_us
        ]

    def not_live(self) -> list[str]:
        """Return the VMs that are known and do not live, or are not heard by us."""
        silent = [v for v in self._known_by_id if not self.is_live(v)]
        contacts = self._contact_by_id.keys() | self._lapsed_by_id.keys()
        return silent + sorted(contacts)

    def member(self, vm_id: str) -> Member | None:
        """Return what a VM last told of itself."""
        known = self._known_by_id.get(vm_id)
        return None if known is None else known.member

    def contact_ids(self) -> list[str]:
        """Return the VMs that were registered and have not told of themselves yet."""
        return list(self._contact_by_id)

    def address_of(self, vm_id: str) -> tuple[str, int] | None:
        """Return where a VM takes links."""
        known = self._known_by_id.get(vm_id)
        if known is not None:
            return known.member.address, known.member.peers_port
        contact = self._contact_by_id.get(vm_id)
        return contact.address if contact else self._lapsed_by_id.get(vm_id)

    def suspecting_observers(self, vm_id: str) -> list[str]:
        """Return the VMs that do not hear a VM."""
        return sorted(self._words_by_id.get(vm_id, ()))

    def suspected_ids(self) -> list[str]:
        """Return the VMs that some observer does not hear."""
        return sorted(self._words_by_id)

    def unheard_by_us(self) -> list[str]:
        """Return the VMs that we watched in vain, and have not heard since."""
        return list(self._unheard_by_us)

    def is_unheard_by_us(self, vm_id: str) -> bool:
        """Tell whether our own word against a VM stands."""
        return self.own.vm_id in self._words_by_id.get(vm_id, ())

    # What we tell of ourselves.

    def update_own(self, **fields: Any) -> bool:
        """Change what we tell of ourselves; False if nothing changes."""
        changed = replace(self.own, **fields)
        if changed == self.own:
            return False
        self._publish(replace(changed, revision=self.own.revision + 1))
        return True

    def _publish(self, own: Member) -> None:
        self.digest ^= _sum_of(self.own) ^ _sum_of(own)
        self.own = own
        self.version += 1
        self._changes.put(("member", own.vm_id), own)

    # What others tell.

    def on_contact(self, vm_id: str, address: tuple[str, int], now: float) -> bool:
        """Take the address of a VM that has not told of itself; True if it is new."""
        is_known = vm_id in self._known_by_id or vm_id in self._contact_by_id
        if vm_id == self.own.vm_id or is_known or self._is_full():
            return False
        self._lapsed_by_id.pop(vm_id, None)
        self._contact_by_id[vm_id] = _Contact(address, now)
        self.rings.add(vm_id)
        return True

    def drop_contact(self, vm_id: str) -> bool:
        """Take a VM that never answered at its address off the rings."""
        contact = self._contact_by_id.pop(vm_id, None)
        if contact is None:
            return False
        self._lapsed_by_id[vm_id] = contact.address
        self.rings.remove(vm_id)
        return True

    def apply(self, member: Member, now: float) -> bool:
        """Take what a VM tells of itself; False if it is not new."""
        if member.vm_id == self.own.vm_id:
            return self._take_own(member)
        known = self._known_by_id.get(member.vm_id)
        if known is None and self._is_full():
            return False
        if known is not None and not member.replaces(known.member):
            return False
        self._contact_by_id.pop(member.vm_id, None)
        self._lapsed_by_id.pop(member.vm_id, None)
        if known is not None and known.out_at is None:
            self.digest ^= _sum_of(known.member)
        if known is None or known.member.start != member.start:
            self._unheard_by_us.discard(member.vm_id)
        self._known_by_id[member.vm_id] = known = _Known(member, now)
        self._drop_void_words(member)
        self._changes.put(("member", member.vm_id), member)
        self.version += 1
        if member.left or self._words_by_id.get(member.vm_id):
            is_live = not member.left and not self._is_out(member.vm_id)
        else:
            is_live = True
        if is_live:
            known.out_at = None
            self.digest ^= _sum_of(member)
            self.rings.add(member.vm_id)
        else:
            self.rings.remove(member.vm_id)
        return True

    def _take_own(self, member: Member) -> bool:
        """Take what others know of us, if it is later than what we tell.

        Guards against a time of day that was set back before we started: others would
        take all we tell for older than what the start before told, and ignore it.
        """
        if not member.replaces(self.own):
            return False
        self._publish(replace(self.own, start=member.start + 1))
        return True

    def apply_suspicion(self, word: Suspicion, now: float) -> bool:
        """Take an observer's word against a VM; False if it is void or not new."""
        if word.vm_id == self.own.vm_id:
            return self._refute(word)
        known = self._known_by_id.get(word.vm_id)
        if known is None:
            return False
        member = known.member
        if (word.start, word.refuted) != (member.start, member.refuted):
            return False
        words = self._words_by_id.setdefault(word.vm_id, {})
        if words.get(word.observer) == word or len(words) >= MOST_MEMBERS:
            return False
        words[word.observer] = word
        self._changes.put(("unheard", word.vm_id, word.observer), word)
        self._judge_all(now)
        return True

    def _refute(self, word: Suspicion) -> bool:
        """Contradict a word against ourselves."""
        if (word.start, word.refuted) != (self.own.start, self.own.refuted):
            return False
        refuted = self.own.refuted + 1
        revision = self.own.revision + 1
        self._publish(replace(self.own, refuted=refuted, revision=revision))
        return True

    # What we observe ourselves.

    def suspect(self, vm_id: str, now: float) -> bool:
        """Note that we do not hear a VM that we watch."""
        known = self._known_by_id.get(vm_id)
        if known is None:
            return False
        member = known.member
        if vm_id not in self._unheard_by_us:
            self._unheard_by_us.add(vm_id)
            self.version += 1
        word = Suspicion(self.own.vm_id, vm_id, member.start, member.refuted)
        return self.apply_suspicion(word, now)

    def clear_suspicion(self, vm_id: str) -> None:
        """Note that a VM has just sent us something."""
        if vm_id in self._unheard_by_us:
            self._unheard_by_us.discard(vm_id)
            self.version += 1

    def forget(self, now: float) -> None:
        """Forget VMs that have been out for long, and contacts that never answered."""
        for vm_id, contact in list(self._contact_by_id.items()):
            if now - contact.since > CONTACT_S:
                self.drop_contact(vm_id)
        for vm_id, known in list(self._known_by_id.items()):
            if known.out_at is None or now - known.out_at < FORGET_S:
                continue
            del self._known_by_id[vm_id]
            self._unheard_by_us.discard(vm_id)
            self._changes.drop(("member", vm_id))
            for observer in self._words_by_id.pop(vm_id, {}):
                self._changes.drop(("unheard", vm_id, observer))

    # Judging.

    def _judge_all(self, now: float) -> None:
        """Judge every VM with words against it; who is out bears on others' words."""
        for vm_id in list(self._words_by_id):
            known = self._known_by_id.get(vm_id)
            if known is None or known.out_at is not None or not self._is_out(vm_id):
                continue
            known.out_at = now
            self.digest ^= _sum_of(known.member)
            self.rings.remove(vm_id)
            self.version += 1

    def _is_out(self, vm_id: str) -> bool:
        """Tell whether enough live observers do not hear a VM."""
        words = self._words_by_id.get(vm_id, {})
        return sum(self.is_live(observer) for observer in words) >= WORDS_NEEDED

    def _drop_void_words(self, member: Member) -> None:
        words = self._words_by_id.get(member.vm_id)
        if words is None:
            return
        for observer, word in list(words.items()):
            if (word.start, word.refuted) != (member.start, member.refuted):
                del words[observer]
                self._changes.drop(("unheard", member.vm_id, observer))
        if not words:
            del self._words_by_id[member.vm_id]

    def _is_full(self) -> bool:
        known = len(self._known_by_id) + len(self._contact_by_id)
        return known + len(self._lapsed_by_id) >= MOST_MEMBERS


def _sum_of(member: Member) -> int:
    """Return a number that differs with every start and revision of every VM."""
    text = f"{member.vm_id}\0{member.start}\0{member.revision}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=7).digest(), "big")
