//! What a seat takes: promises, writes, what others hold as chosen.

use crate::writer::Turn;
use crate::{Book, Item, Out, SEATS, versions};
use post_words::Host;
use post_words::depot::{Entry, Epoch, Named, Stamp, Word};

impl Book {
    fn touch(&mut self, name: &str) {
        self.dirty.insert(name.to_owned());
    }

    pub(crate) fn promise(&mut self, epoch: Epoch) {
        debug_assert!(epoch >= self.vows.promised, "a promise is never taken back");
        self.round = self.round.max(epoch.round);
        if self.vows.promised != epoch {
            self.vows.promised = epoch;
            self.dirty_vows = true;
        }
    }

    pub(crate) fn pending(&self) -> Vec<Named> {
        self.items.iter().filter_map(|(name, item)| Some((name.clone(), item.pending.clone()?))).collect()
    }

    /// Chosen entries of the parts where another copy holds something else.
    pub(crate) fn differing(&self, theirs: &[u64]) -> Vec<Named> {
        let differs = |name: &str| {
            let part = post_items::part(name);
            theirs.get(part) != self.digest.get(part)
        };
        let chosen = self.chosen().filter(|(name, _)| differs(name));
        chosen.map(|(name, entry)| (name.clone(), entry.clone())).collect()
    }

    pub(crate) fn on_prepare(&mut self, from: Host, epoch: Epoch, digest: &[u64]) {
        if !self.votes || !self.is_seat(from) || epoch.seat != from {
            return;
        }
        if epoch <= self.vows.promised {
            let promised = self.vows.promised;
            return self.send(from, Word::Refused(promised));
        }
        self.step_down(epoch);
        self.promise(epoch);
        let (joined, chosen, pending) = (self.vows.joined, self.differing(digest), self.pending());
        self.send(from, Word::Promise { epoch, joined, chosen, pending });
    }

    /// Whether a write of a turn may be taken here; who writes is told where a later turn was promised.
    fn may_take(&mut self, from: Host, epoch: Epoch) -> bool {
        if !self.votes || !self.is_seat(from) || epoch.seat != from {
            return false;
        }
        if epoch < self.vows.promised {
            let promised = self.vows.promised;
            self.send(from, Word::Refused(promised));
            return false;
        }
        self.step_down(epoch);
        true
    }

    fn send_behind(&mut self, to: Host, epoch: Epoch) {
        let digest = self.digest.clone();
        self.send(to, Word::Behind(epoch, digest));
    }

    /// A turn begins. What its writer holds as chosen is not written again, so a seat joins only once it holds that too: what
    /// whoever joined does not hold was never chosen, and that is what later turns go by ([`Book::base`]).
    pub(crate) fn on_begin(
        &mut self, from: Host, epoch: Epoch, entries: Vec<Named>, digest: &[u64], lacked: Option<Vec<Named>>,
    ) {
        if !self.may_take(from, epoch) {
            return;
        }
        if self.vows.joined != epoch {
            match lacked {
                Some(lacked) => self.merge(lacked),
                None if digest != self.digest => return self.send_behind(from, epoch),
                None => {}
            }
        }
        // The list of seats may have been among what was lacking.
        if !self.votes {
            return;
        }
        let stamp = Stamp { epoch, turn: 0 };
        self.take(stamp, entries);
        self.send(from, Word::Accepted(stamp));
    }

    pub(crate) fn on_accept(&mut self, from: Host, stamp: Stamp, entries: Vec<Named>, chosen: u64) {
        if !self.may_take(from, stamp.epoch) {
            return;
        }
        if self.vows.joined != stamp.epoch {
            return self.send_behind(from, stamp.epoch);
        }
        // First what is chosen of this turn: this write may be the next one of a name that waits to be.
        self.choose(stamp.epoch, chosen);
        self.take(stamp, entries);
        self.send(from, Word::Accepted(stamp));
    }

    /// Takes a write. The first of a turn holds all of earlier turns that may have been chosen: the rest is void.
    pub(crate) fn take(&mut self, stamp: Stamp, entries: Vec<Named>) {
        self.promise(stamp.epoch);
        if stamp.turn == 0 && self.vows.joined != stamp.epoch {
            self.vows.joined = stamp.epoch;
            self.dirty_vows = true;
            let void = |(name, item): (&String, &Item)| {
                item.pending.as_ref().filter(|p| p.stamp.epoch < stamp.epoch).map(|_| name.clone())
            };
            let void: Vec<String> = self.items.iter().filter_map(void).collect();
            for name in void {
                if let Some(item) = self.items.get_mut(&name) {
                    item.pending = None;
                }
                self.touch(&name);
                self.refact(&name);
            }
        }
        for (name, entry) in entries {
            let item = self.items.entry(name.clone()).or_default();
            let known = item.pending.iter().chain(&item.chosen).map(|e| e.stamp).max();
            if known.is_none_or(|known| known < entry.stamp) {
                item.pending = Some(entry);
                self.touch(&name);
                self.refact(&name);
            }
        }
    }

    pub(crate) fn on_chosen(&mut self, stamp: Stamp) {
        if stamp.epoch == self.vows.joined {
            self.choose(stamp.epoch, stamp.turn + 1);
        }
    }

    /// Writes of a turn below this one are chosen.
    pub(crate) fn choose(&mut self, epoch: Epoch, below: u64) {
        if epoch != self.vows.joined {
            return;
        }
        let ready = |(_, item): &(&String, &Item)| {
            item.pending.as_ref().is_some_and(|p| p.stamp.epoch == epoch && p.stamp.turn < below)
        };
        let names: Vec<String> = self.items.iter().filter(ready).map(|(name, _)| name.clone()).collect();
        for name in names {
            if let Some(entry) = self.items.get_mut(&name).and_then(|item| item.pending.take()) {
                self.set_chosen(name, entry);
            }
        }
    }

    fn set_chosen(&mut self, name: String, entry: Entry) {
        let item = self.items.entry(name.clone()).or_default();
        debug_assert!(item.chosen.as_ref().is_none_or(|c| c.stamp <= entry.stamp), "{name} goes back");
        let part = post_items::part(&name);
        if let Some(old) = &item.chosen {
            self.digest[part] ^= post_items::entry_hash((&name, old));
        }
        self.digest[part] ^= post_items::entry_hash((&name, &entry));
        item.chosen = Some(entry.clone());
        if item.pending.as_ref().is_some_and(|p| p.stamp <= entry.stamp) {
            item.pending = None;
        }
        self.touch(&name);
        self.refact(&name);
        if name == SEATS {
            self.take_seats();
            let seats = self.seats.clone();
            self.out.push(Out::Seats(seats));
        } else {
            self.news.push((name, versions::published(&entry)));
        }
    }

    /// Entries that another copy holds as chosen.
    pub(crate) fn merge(&mut self, entries: Vec<Named>) {
        for (name, entry) in entries {
            let known = self.items.get(&name).and_then(|item| item.chosen.as_ref()).map(|c| c.stamp);
            if known.is_none_or(|known| known < entry.stamp) {
                self.set_chosen(name, entry);
            }
        }
    }

    pub(crate) fn on_compare(&mut self, from: Host, theirs: &[u64], back: bool) {
        let parts = self.differing(theirs);
        self.send(from, Word::Parts(parts));
        if back && theirs != self.digest {
            let digest = self.digest.clone();
            self.send(from, Word::Compare(digest, false));
        }
    }

    pub(crate) fn on_learn(&mut self, from: Host) {
        if !self.votes || !self.is_seat(from) {
            return;
        }
        let chosen = self.chosen().map(|(name, entry)| (name.clone(), entry.clone()));
        let (chosen, pending) = (chosen.collect(), self.pending());
        let (promised, joined) = (self.vows.promised, self.vows.joined);
        self.send(from, Word::Learned { promised, joined, chosen, pending });
    }

    /// A seat that has forgotten everything learns from a quorum of the others before it votes again.
    pub(crate) fn on_learned(
        &mut self, from: Host, promised: Epoch, joined: Epoch, chosen: Vec<Named>, pending: Vec<Named>,
    ) {
        if self.votes || !self.is_seat(from) || !self.is_seat(self.place.me.host) {
            return;
        }
        self.merge(chosen);
        self.round = self.round.max(promised.round);
        self.vows.promised = self.vows.promised.max(promised);
        self.vows.joined = self.vows.joined.max(joined);
        for (name, entry) in pending {
            let item = self.lesson.entry(name).or_default();
            if item.pending.as_ref().is_none_or(|p| p.stamp < entry.stamp) {
                item.pending = Some(entry);
            }
        }
        self.learned.insert(from);
        if self.learned.len() < self.quorum() {
            return;
        }
        // What was taken in turns before the newest that anybody joined, and is not in that one's first write, is void.
        for (name, lesson) in std::mem::take(&mut self.lesson) {
            let Some(entry) = lesson.pending.filter(|p| p.stamp.epoch >= self.vows.joined) else { continue };
            let item = self.items.entry(name.clone()).or_default();
            if item.chosen.as_ref().is_none_or(|c| c.stamp < entry.stamp) {
                item.pending = Some(entry);
                self.touch(&name);
                self.refact(&name);
            }
        }
        self.dirty_vows = true;
        self.votes = true;
        self.turn = Turn::Idle;
        let from = self.learned.len();
        self.learned.clear();
        self.log("seat-learned", format!("from={from} items={}", self.items.len()));
    }
}
