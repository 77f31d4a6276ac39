//! What a seat takes: promises, writes, what others hold as chosen.

use crate::position::Contiguous;
use crate::{MEMBERS_KEY, Output, Replica, versions};
use fennelscale_messages::Host;
use fennelscale_messages::store::{Entry, NamedEntry, Stamp, StoreMessage, Term};

impl Replica {
    fn touch(&mut self, name: &str) {
        self.dirty.insert(name.to_owned());
    }

    pub(crate) fn promise(&mut self, epoch: Term) {
        debug_assert!(epoch >= self.acceptor.promised, "a promise is never taken back");
        self.round = self.round.max(epoch.number);
        if self.acceptor.promised != epoch {
            self.acceptor.promised = epoch;
            self.dirty_acceptor = true;
        }
    }

    pub(crate) fn pending(&self) -> Vec<NamedEntry> {
        let entry = |name: &String| Some((name.clone(), self.items[name].pending.clone()?));
        self.pending.iter().filter_map(entry).collect()
    }

    /// What is taken of a name and not known to be chosen.
    pub(crate) fn set_pending(&mut self, name: &str, entry: Option<Entry>) {
        if entry.is_some() {
            self.pending.insert(name.to_owned());
        } else {
            self.pending.remove(name);
        }
        self.items.entry(name.to_owned()).or_default().pending = entry;
        self.touch(name);
        self.refact(name);
    }

    pub(crate) fn on_prepare(&mut self, from: Host, epoch: Term, since: Stamp) {
        if !self.votes || !self.is_seat(from) || epoch.leader != from {
            return;
        }
        if epoch <= self.acceptor.promised {
            let promised = self.acceptor.promised;
            return self.send(from, StoreMessage::Rejected(promised));
        }
        self.step_down(epoch);
        self.promise(epoch);
        let (joined, tail, pending) = (self.acceptor.joined, self.tail(since), self.pending());
        let more = tail.is_none();
        self.send(
            from,
            StoreMessage::Promise { term: epoch, joined, chosen: tail.unwrap_or_default(), more, pending },
        );
    }

    /// Whether a write of a turn may be taken here; who writes is told where a later turn was promised.
    fn may_take(&mut self, from: Host, epoch: Term) -> bool {
        if !self.votes || !self.is_seat(from) || epoch.leader != from {
            return false;
        }
        if epoch < self.acceptor.promised {
            let promised = self.acceptor.promised;
            self.send(from, StoreMessage::Rejected(promised));
            return false;
        }
        self.step_down(epoch);
        true
    }

    fn send_behind(&mut self, to: Host, epoch: Term) {
        self.send(to, StoreMessage::Behind(epoch, self.progress.position));
    }

    /// A turn begins. What its writer holds as chosen is not written again, so a seat joins only once it holds that too: what
    /// whoever joined does not hold was never chosen, and that is what later turns go by ([`Replica::base`]).
    pub(crate) fn on_begin(
        &mut self, from: Host, epoch: Term, entries: Vec<NamedEntry>, digest: u64,
        lacked: Option<Vec<NamedEntry>>,
    ) {
        if !self.may_take(from, epoch) {
            return;
        }
        if self.acceptor.joined != epoch {
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
        let stamp = Stamp { term: epoch, sequence: 0 };
        self.take(stamp, entries);
        self.send(from, StoreMessage::Accepted(stamp));
    }

    pub(crate) fn on_accept(&mut self, from: Host, stamp: Stamp, entries: Vec<NamedEntry>, chosen: u64) {
        if !self.may_take(from, stamp.term) {
            return;
        }
        if self.acceptor.joined != stamp.term {
            return self.send_behind(from, stamp.term);
        }
        // First what is chosen of this turn: this write may be the next one of a name that waits to be.
        self.choose(stamp.term, chosen);
        self.take(stamp, entries);
        self.send(from, StoreMessage::Accepted(stamp));
    }

    /// Takes a write. The first of a turn holds all of earlier turns that may have been chosen: the rest is void.
    pub(crate) fn take(&mut self, stamp: Stamp, entries: Vec<NamedEntry>) {
        self.promise(stamp.term);
        if stamp.sequence == 0 && self.acceptor.joined != stamp.term {
            self.acceptor.joined = stamp.term;
            self.dirty_acceptor = true;
            self.contiguous = Contiguous::default();
            let before = |name: &&String| {
                self.items[*name].pending.as_ref().is_some_and(|p| p.stamp.term < stamp.term)
            };
            let void: Vec<String> = self.pending.iter().filter(before).cloned().collect();
            void.iter().for_each(|name| self.set_pending(name, None));
        }
        if self.acceptor.joined == stamp.term {
            self.contiguous.take(stamp.sequence);
        }
        for (name, entry) in entries {
            let item = self.items.get(&name);
            let known = item.and_then(|item| item.pending.iter().chain(&item.chosen).map(|e| e.stamp).max());
            if known.is_none_or(|known| known < entry.stamp) {
                self.set_pending(&name, Some(entry));
            }
        }
    }

    /// Writes of a turn below this one are chosen.
    pub(crate) fn choose(&mut self, epoch: Term, below: u64) {
        if epoch != self.acceptor.joined {
            return;
        }
        let ready = |name: &&String| {
            let pending = self.items[*name].pending.as_ref();
            pending.is_some_and(|p| p.stamp.term == epoch && p.stamp.sequence < below)
        };
        let names: Vec<String> = self.pending.iter().filter(ready).cloned().collect();
        for name in names {
            if let Some(entry) = self.items.get_mut(&name).and_then(|item| item.pending.take()) {
                self.set_chosen(name, entry);
            }
        }
        let reached = below.min(self.contiguous.reached());
        if reached > 0 {
            self.reach(Stamp { term: epoch, sequence: reached });
        }
    }

    pub(crate) fn set_chosen(&mut self, name: String, entry: Entry) {
        let item = self.items.entry(name.clone()).or_default();
        debug_assert!(item.chosen.as_ref().is_none_or(|c| c.stamp <= entry.stamp), "{name} goes back");
        if let Some(old) = &item.chosen {
            self.digest ^= fennelscale_config::entry_hash((&name, old));
            self.by_stamp.remove(&(old.stamp, name.clone()));
        }
        self.digest ^= fennelscale_config::entry_hash((&name, &entry));
        self.by_stamp.insert((entry.stamp, name.clone()));
        item.chosen = Some(entry.clone());
        if item.pending.as_ref().is_some_and(|p| p.stamp <= entry.stamp) {
            item.pending = None;
        }
        if item.pending.is_none() {
            self.pending.remove(&name);
        }
        self.touch(&name);
        self.refact(&name);
        if name == MEMBERS_KEY {
            self.take_seats();
            let seats = self.seats.clone();
            self.out.push(Output::Members(seats));
        } else {
            self.news.push((name, versions::published(&entry)));
        }
    }
}
