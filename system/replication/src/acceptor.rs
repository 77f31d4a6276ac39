//! Acceptor: gives promises, accepts writes, and takes over entries that other replicas hold as chosen.

use crate::position::AcceptedPrefix;
use crate::{MEMBERS_KEY, Output, Replica, versions};
use fennelscale_messages::Host;
use fennelscale_messages::store::{Entry, NamedEntry, Stamp, StoreMessage, Term};

impl Replica {
    fn mark_dirty(&mut self, name: &str) {
        self.dirty_items.insert(name.to_owned());
    }

    pub(crate) fn promise(&mut self, term: Term) {
        debug_assert!(term >= self.acceptor.promised, "a promise is never taken back");
        self.highest_term_number = self.highest_term_number.max(term.number);
        if self.acceptor.promised != term {
            self.acceptor.promised = term;
            self.dirty_acceptor = true;
        }
    }

    pub(crate) fn pending_entries(&self) -> Vec<NamedEntry> {
        let entry = |name: &String| Some((name.clone(), self.items[name].pending.clone()?));
        self.pending_names.iter().filter_map(entry).collect()
    }

    /// Sets the accepted version of an entry that is not known to be chosen.
    pub(crate) fn set_pending(&mut self, name: &str, entry: Option<Entry>) {
        if entry.is_some() {
            self.pending_names.insert(name.to_owned());
        } else {
            self.pending_names.remove(name);
        }
        self.items.entry(name.to_owned()).or_default().pending = entry;
        self.mark_dirty(name);
        self.update_config(name);
    }

    pub(crate) fn on_prepare(&mut self, from: Host, term: Term, since: Stamp) {
        if !self.voting || !self.is_member(from) || term.leader != from {
            return;
        }
        if term <= self.acceptor.promised {
            let promised = self.acceptor.promised;
            return self.send(from, StoreMessage::Rejected(promised));
        }
        self.step_down(term);
        self.promise(term);
        let (joined, tail, pending) =
            (self.acceptor.joined, self.entries_since(since), self.pending_entries());
        let more = tail.is_none();
        self.send(
            from,
            StoreMessage::Promise { term, joined, chosen: tail.unwrap_or_default(), more, pending },
        );
    }

    /// Whether a write of this term may be accepted. The sender is told if a later term was promised.
    fn may_accept(&mut self, from: Host, term: Term) -> bool {
        if !self.voting || !self.is_member(from) || term.leader != from {
            return false;
        }
        if term < self.acceptor.promised {
            let promised = self.acceptor.promised;
            self.send(from, StoreMessage::Rejected(promised));
            return false;
        }
        self.step_down(term);
        true
    }

    fn send_behind(&mut self, to: Host, term: Term) {
        self.send(to, StoreMessage::Behind(term, self.progress.position));
    }

    /// Handles the start of a term. The leader does not write again what it holds as chosen, so a member
    /// joins only once it holds that too. Later terms rely on this: what no member that joined holds was
    /// never chosen ([`Replica::recovered_entries`]).
    pub(crate) fn on_begin(
        &mut self, from: Host, term: Term, entries: Vec<NamedEntry>, digest: u64,
        missing: Option<Vec<NamedEntry>>,
    ) {
        if !self.may_accept(from, term) {
            return;
        }
        if self.acceptor.joined != term {
            match missing {
                Some(missing) => self.merge_chosen(missing),
                None if digest != self.digest => return self.send_behind(from, term),
                None => {}
            }
        }
        // The member list may have been among the missing entries.
        if !self.voting {
            return;
        }
        let stamp = Stamp { term, sequence: 0 };
        self.accept(stamp, entries);
        self.send(from, StoreMessage::Accepted(stamp));
    }

    pub(crate) fn on_accept(&mut self, from: Host, stamp: Stamp, entries: Vec<NamedEntry>, chosen: u64) {
        if !self.may_accept(from, stamp.term) {
            return;
        }
        if self.acceptor.joined != stamp.term {
            return self.send_behind(from, stamp.term);
        }
        // Mark earlier writes of this term as chosen first: this write may be the next version of an entry
        // that is still pending.
        self.mark_chosen(stamp.term, chosen);
        self.accept(stamp, entries);
        self.send(from, StoreMessage::Accepted(stamp));
    }

    /// Accepts a write. The first write of a term contains everything of earlier terms that may have been
    /// chosen, so all other pending entries are discarded.
    pub(crate) fn accept(&mut self, stamp: Stamp, entries: Vec<NamedEntry>) {
        self.promise(stamp.term);
        if stamp.sequence == 0 && self.acceptor.joined != stamp.term {
            self.acceptor.joined = stamp.term;
            self.dirty_acceptor = true;
            self.accepted_prefix = AcceptedPrefix::default();
            let before = |name: &&String| {
                self.items[*name].pending.as_ref().is_some_and(|p| p.stamp.term < stamp.term)
            };
            let discarded: Vec<String> = self.pending_names.iter().filter(before).cloned().collect();
            discarded.iter().for_each(|name| self.set_pending(name, None));
        }
        if self.acceptor.joined == stamp.term {
            self.accepted_prefix.record(stamp.sequence);
        }
        for (name, entry) in entries {
            let item = self.items.get(&name);
            let known = item.and_then(|item| item.pending.iter().chain(&item.chosen).map(|e| e.stamp).max());
            if known.is_none_or(|known| known < entry.stamp) {
                self.set_pending(&name, Some(entry));
            }
        }
    }

    /// Marks the writes of a term below the given number as chosen.
    pub(crate) fn mark_chosen(&mut self, term: Term, below: u64) {
        if term != self.acceptor.joined {
            return;
        }
        let ready = |name: &&String| {
            let pending = self.items[*name].pending.as_ref();
            pending.is_some_and(|p| p.stamp.term == term && p.stamp.sequence < below)
        };
        let names: Vec<String> = self.pending_names.iter().filter(ready).cloned().collect();
        for name in names {
            if let Some(entry) = self.items.get_mut(&name).and_then(|item| item.pending.take()) {
                self.apply_chosen(name, entry);
            }
        }
        let reached = below.min(self.accepted_prefix.end());
        if reached > 0 {
            self.advance_position(Stamp { term, sequence: reached });
        }
    }

    pub(crate) fn apply_chosen(&mut self, name: String, entry: Entry) {
        let item = self.items.entry(name.clone()).or_default();
        debug_assert!(item.chosen.as_ref().is_none_or(|c| c.stamp <= entry.stamp), "{name} goes back");
        if let Some(old) = &item.chosen {
            self.digest ^= fennelscale_config::entry_hash((&name, old));
            self.chosen_by_stamp.remove(&(old.stamp, name.clone()));
        }
        self.digest ^= fennelscale_config::entry_hash((&name, &entry));
        self.chosen_by_stamp.insert((entry.stamp, name.clone()));
        item.chosen = Some(entry.clone());
        if item.pending.as_ref().is_some_and(|p| p.stamp <= entry.stamp) {
            item.pending = None;
        }
        if item.pending.is_none() {
            self.pending_names.remove(&name);
        }
        self.mark_dirty(&name);
        self.update_config(&name);
        if name == MEMBERS_KEY {
            self.load_members();
            let members = self.members.clone();
            self.outputs.push(Output::Members(members));
        } else {
            self.newly_chosen.push((name, versions::without_history(&entry)));
        }
    }
}
