"""Membership of the entry VMs: which of them are alive, by gossip.

Each VM is watched by its neighbours only, as all-to-all heartbeats would grow with the
square of the fleet. A VM is removed from the live set once two observers suspect it, so
that one slow observer or one broken link removes no VM that serves. A suspected VM that
is alive refutes the suspicion (as in SWIM: Das et al., "SWIM: Scalable
Weakly-consistent Infection-style Process Group Membership Protocol", 2002).
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from bamboovale.fleet.changes import ChangeLog
from bamboovale.fleet.messages import (
    AdapterNews,
    CrashNews,
    EndpointLimit,
    LeavingEndpoint,
    Member,
    Suspicion,
)
from bamboovale.fleet.rings import Rings

SUSPICIONS_NEEDED = 2
"""Observers that must suspect a VM before it is removed: a single one may be slow, cut
off in one direction or wrong. A VM that only we suspect is still not live for us."""
CONTACT_TTL_S = 3.0
"""A registered VM from which no record has arrived by then counts as absent."""
FORGET_AFTER_S = 60.0
"""A removed VM is remembered for this long, so that late records of its old start are
recognised."""
MAX_MEMBERS = 4096
"""Limit of known VMs, against malformed or hostile messages."""

Change = Member | Suspicion | CrashNews | AdapterNews | EndpointLimit | LeavingEndpoint


@dataclass
class _Known:
    """A VM whose record is known; ``removed_at`` is None while it is live."""

    member: Member
    removed_at: float | None = None


@dataclass(frozen=True)
class _Contact:
    """A VM of which only the address is known, from the store."""

    address: tuple[str, int]
    since: float


class Membership:
    """One VM's view of all entry VMs; no sockets, no clock.

    ``version`` increases with each change of the live set or of a live VM's record.
    """

    def __init__(self, own: Member, changes: ChangeLog[Change]) -> None:
        self.own = own
        self.version = 0
        self.digest = _checksum(own)
        self.rings = Rings()
        self.rings.add(own.vm_id)
        self._changes = changes
        self._known_by_id: dict[str, _Known] = {}
        self._contact_by_id: dict[str, _Contact] = {}
        self._expired_contacts: dict[str, tuple[str, int]] = {}
        self._suspicions_by_id: dict[str, dict[str, Suspicion]] = {}
        self._silent_to_us: set[str] = set()
        self._changes.put(("member", own.vm_id), own)

    # What is known.

    def is_live(self, vm_id: str) -> bool:
        """Return whether a VM is live and not silent to us."""
        if vm_id == self.own.vm_id:
            return True
        known = self._known_by_id.get(vm_id)
        if known is None or known.removed_at is not None:
            return False
        return vm_id not in self._silent_to_us

    def live(self) -> list[Member]:
        """Return the records of the other live VMs."""
        return [
            known.member
            for vm_id, known in self._known_by_id.items()
            if known.removed_at is None and vm_id not in self._silent_to_us
        ]

    def may_run_count(self) -> int:
        """Return how many VMs may be running, this one included.

        Silence does not show that a VM has ended: it may be cut off from us. Only those
        that left, or were removed long ago, do not count. While no other VM is live for
        us, registered ones that have not answered count too.
        """
        known = sum(not known.member.left for known in self._known_by_id.values())
        count = 1 + known + len(self._contact_by_id)
        return count if self.live() else count + len(self._expired_contacts)

    def not_live(self) -> list[str]:
        """Return the known VMs that are not live, contacts included."""
        silent = [v for v in self._known_by_id if not self.is_live(v)]
        contacts = self._contact_by_id.keys() | self._expired_contacts.keys()
        return silent + sorted(contacts)

    def member(self, vm_id: str) -> Member | None:
        """Return the newest record of a VM, None if there is none."""
        known = self._known_by_id.get(vm_id)
        return None if known is None else known.member

    def contact_ids(self) -> list[str]:
        """Return the registered VMs from which no record has arrived yet."""
        return list(self._contact_by_id)

    def address_of(self, vm_id: str) -> tuple[str, int] | None:
        """Return the address and port for links to a VM, None if not known."""
        known = self._known_by_id.get(vm_id)
        if known is not None:
            return known.member.address, known.member.peers_port
        contact = self._contact_by_id.get(vm_id)
        return contact.address if contact else self._expired_contacts.get(vm_id)

    def suspecting_observers(self, vm_id: str) -> list[str]:
        """Return the observers that suspect a VM."""
        return sorted(self._suspicions_by_id.get(vm_id, ()))

    def suspected_ids(self) -> list[str]:
        """Return the VMs that some observer suspects."""
        return sorted(self._suspicions_by_id)

    def silent_to_us(self) -> list[str]:
        """Return the VMs that were silent while we watched them, and still are."""
        return list(self._silent_to_us)

    def is_suspected_by_us(self, vm_id: str) -> bool:
        """Return whether our own suspicion of a VM is not refuted."""
        return self.own.vm_id in self._suspicions_by_id.get(vm_id, ())

    def own_suspicions(self, vm_ids: Iterable[str]) -> list[Suspicion]:
        """Return our own suspicions of VMs that are not refuted."""
        own_id = self.own.vm_id
        known = (self._suspicions_by_id.get(vm_id, {}).get(own_id) for vm_id in vm_ids)
        return [suspicion for suspicion in known if suspicion is not None]

    # Our own record.

    def update_own(self, **fields: Any) -> bool:
        """Change fields of our own record; False if nothing changes."""
        changed = replace(self.own, **fields)
        if changed == self.own:
            return False
        self._publish(replace(changed, revision=self.own.revision + 1))
        return True

    def _publish(self, own: Member) -> None:
        self.digest ^= _checksum(self.own) ^ _checksum(own)
        self.own = own
        self.version += 1
        self._changes.put(("member", own.vm_id), own)

    # Records and suspicions received.

    def add_contact(self, vm_id: str, address: tuple[str, int], now: float) -> bool:
        """Add a registered VM by its address; False if it is known."""
        is_known = vm_id in self._known_by_id or vm_id in self._contact_by_id
        if vm_id == self.own.vm_id or is_known or self._is_full():
            return False
        self._expired_contacts.pop(vm_id, None)
        self._contact_by_id[vm_id] = _Contact(address, now)
        self.rings.add(vm_id)
        return True

    def drop_contact(self, vm_id: str) -> bool:
        """Remove a contact that has not answered from the rings; False if unknown."""
        contact = self._contact_by_id.pop(vm_id, None)
        if contact is None:
            return False
        self._expired_contacts[vm_id] = contact.address
        self.rings.remove(vm_id)
        return True

    def apply(self, member: Member, now: float) -> bool:
        """Apply a VM's record; False if it is not newer than the known one."""
        if member.vm_id == self.own.vm_id:
            return self._apply_own(member)
        known = self._known_by_id.get(member.vm_id)
        if known is None and self._is_full():
            return False
        if known is not None and not member.replaces(known.member):
            return False
        self._contact_by_id.pop(member.vm_id, None)
        self._expired_contacts.pop(member.vm_id, None)
        if known is not None and known.removed_at is None:
            self.digest ^= _checksum(known.member)
        if known is None or known.member.start != member.start:
            self._silent_to_us.discard(member.vm_id)
        self._known_by_id[member.vm_id] = known = _Known(member, now)
        self._drop_stale_suspicions(member)
        self._changes.put(("member", member.vm_id), member)
        self.version += 1
        if member.left or self._suspicions_by_id.get(member.vm_id):
            is_live = not member.left and not self._is_confirmed_silent(member.vm_id)
        else:
            is_live = True
        if is_live:
            known.removed_at = None
            self.digest ^= _checksum(member)
            self.rings.add(member.vm_id)
        else:
            self.rings.remove(member.vm_id)
        return True

    def _apply_own(self, member: Member) -> bool:
        """Publish a later start if others know a newer record of ours.

        Guards against a clock that was set back before this start: others would ignore
        our records as older than those of the previous start.
        """
        if not member.replaces(self.own):
            return False
        self._publish(replace(self.own, start=member.start + 1))
        return True

    def apply_suspicion(self, suspicion: Suspicion, now: float) -> bool:
        """Apply an observer's suspicion; False if it is stale or already known."""
        if suspicion.vm_id == self.own.vm_id:
            return self._refute(suspicion)
        known = self._known_by_id.get(suspicion.vm_id)
        if known is None:
            return False
        member = known.member
        if (suspicion.start, suspicion.refuted) != (member.start, member.refuted):
            return False
        suspicions = self._suspicions_by_id.setdefault(suspicion.vm_id, {})
        if (
            suspicions.get(suspicion.observer) == suspicion
            or len(suspicions) >= MAX_MEMBERS
        ):
            return False
        suspicions[suspicion.observer] = suspicion
        self._changes.put(("suspicion", suspicion.vm_id, suspicion.observer), suspicion)
        self._evaluate_all(now)
        return True

    def _refute(self, suspicion: Suspicion) -> bool:
        """Refute a suspicion of ourselves; False if it is stale."""
        if (suspicion.start, suspicion.refuted) != (self.own.start, self.own.refuted):
            return False
        refuted = self.own.refuted + 1
        revision = self.own.revision + 1
        self._publish(replace(self.own, refuted=refuted, revision=revision))
        return True

    # What we observe ourselves.

    def suspect(self, vm_id: str, now: float) -> bool:
        """Suspect a watched VM that is silent."""
        known = self._known_by_id.get(vm_id)
        if known is None:
            return False
        member = known.member
        if vm_id not in self._silent_to_us:
            self._silent_to_us.add(vm_id)
            self.version += 1
        suspicion = Suspicion(self.own.vm_id, vm_id, member.start, member.refuted)
        return self.apply_suspicion(suspicion, now)

    def clear_silence(self, vm_id: str) -> None:
        """End the silence of a VM, on a message from it or by the others' view."""
        if vm_id in self._silent_to_us:
            self._silent_to_us.discard(vm_id)
            self.version += 1

    def forget(self, now: float) -> None:
        """Drop VMs removed long ago, and contacts that have not answered."""
        for vm_id, contact in list(self._contact_by_id.items()):
            if now - contact.since > CONTACT_TTL_S:
                self.drop_contact(vm_id)
        for vm_id, known in list(self._known_by_id.items()):
            if known.removed_at is None or now - known.removed_at < FORGET_AFTER_S:
                continue
            del self._known_by_id[vm_id]
            self._silent_to_us.discard(vm_id)
            self._changes.drop(("member", vm_id))
            for observer in self._suspicions_by_id.pop(vm_id, {}):
                self._changes.drop(("suspicion", vm_id, observer))

    # Evaluation of suspicions.

    def _evaluate_all(self, now: float) -> None:
        """Evaluate all suspected VMs; suspicions by removed VMs no longer count."""
        for vm_id in list(self._suspicions_by_id):
            known = self._known_by_id.get(vm_id)
            if (
                known is None
                or known.removed_at is not None
                or not self._is_confirmed_silent(vm_id)
            ):
                continue
            known.removed_at = now
            self.digest ^= _checksum(known.member)
            self.rings.remove(vm_id)
            self.version += 1

    def _is_confirmed_silent(self, vm_id: str) -> bool:
        """Return whether enough live observers suspect a VM."""
        suspicions = self._suspicions_by_id.get(vm_id, {})
        return (
            sum(self.is_live(observer) for observer in suspicions) >= SUSPICIONS_NEEDED
        )

    def _drop_stale_suspicions(self, member: Member) -> None:
        suspicions = self._suspicions_by_id.get(member.vm_id)
        if suspicions is None:
            return
        for observer, suspicion in list(suspicions.items()):
            if (suspicion.start, suspicion.refuted) != (member.start, member.refuted):
                del suspicions[observer]
                self._changes.drop(("suspicion", member.vm_id, observer))
        if not suspicions:
            del self._suspicions_by_id[member.vm_id]

    def _is_full(self) -> bool:
        known = len(self._known_by_id) + len(self._contact_by_id)
        return known + len(self._expired_contacts) >= MAX_MEMBERS


def _checksum(member: Member) -> int:
    """Return a checksum of a VM's id, start and revision."""
    text = f"{member.vm_id}\0{member.start}\0{member.revision}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=7).digest(), "big")
