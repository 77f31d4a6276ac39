//! Who sits: how the list of seats is founded, how a machine that is gone leaves it and an empty one takes its place.
//!
//! - *Founding*: at the first start all are told the same seeds, and these are up. The first of them, and nobody else, makes
//!   the list of all who announced themselves in time, brings it to its disk and tells them. A machine that was told to
//!   found and finds a list takes that.
//! - *Replacing*: the list is an item like others, written under a quorum of the old list; one seat changes at a time. The
//!   new machine learns from a quorum before it votes, so any old and new quorum share a seat that remembers.
//! - *Who is not on the list* finds that at the first word with anybody, and is a stranger: it passes calls on and votes on
//!   nothing.

use crate::writer::Turn;
use crate::{BEAT, Book, Millis, SEATS, SILENT};
use post_words::Host;
use post_words::depot::{Entry, Epoch, Seat, Seats, Stamp, Word};

/// The founder waits so long for the others: all machines start together, and nothing is asked of them for seconds.
const FOUND: Millis = 1800.0;
/// Before it has this many together, itself included, it waits on; at the latest until ...
const FOUND_LEAST: usize = 3;
/// ... this.
const FOUND_LATEST: Millis = 6000.0;
/// A seat that was silent for this long may be given to a machine that waits for it in the same zone. Longer than a kill and
/// the start after it; an old machine that comes back later is a stranger.
const GONE: Millis = 2500.0;
/// Between two changes of the list: the last new seat has learned by then, or is seen not to have.
const RESEAT: Millis = 2000.0;
/// Who has no seat announces itself this often.
const ANNOUNCE: Millis = 250.0;
/// A stranger that was heard within this is there.
const STRANGER: Millis = 1500.0;

/// The list as an item's text. Names of zones are the operator's: they are kept apart by line ends, which none has.
fn to_text(seats: &[Seat]) -> String {
    let line = |seat: &Seat| format!("{}\t{}\t{}", seat.host.0, seat.zone, seat.region);
    seats.iter().map(line).collect::<Vec<_>>().join("\n")
}

fn from_text(text: &str) -> Option<Vec<Seat>> {
    let line = |line: &str| {
        let mut parts = line.split('\t');
        let host = Host(parts.next()?.parse().ok()?);
        Some(Seat { host, zone: parts.next()?.to_owned(), region: parts.next()?.to_owned() })
    };
    text.lines().map(line).collect()
}

impl Book {
    /// Takes the chosen list of seats into use.
    pub(crate) fn take_seats(&mut self) {
        let entry = self.items.get(SEATS).and_then(|item| item.chosen.as_ref());
        let Some(entry) = entry else { return };
        let seats = entry.body.as_deref().and_then(from_text).unwrap_or_default();
        self.seats = Seats { version: entry.revision, seats };
        self.seated = self.told;
        let me = self.place.me.host;
        if self.votes && !self.is_seat(me) {
            self.votes = false;
            self.log("seat-lost", format!("version={}", self.seats.version));
        }
        let listed: Vec<Host> = self.seats.seats.iter().map(|seat| seat.host).collect();
        self.strangers.retain(|host, _| !listed.contains(host));
    }

    pub(crate) fn on_announce(&mut self, now: Millis, from: Host, seat: Seat) {
        if self.seats.seats.is_empty() {
            self.strangers.insert(from, (seat, now));
            return;
        }
        self.tell_seats(from);
        if !self.is_seat(seat.host) {
            // It may have come by way of another seat: who writes has to hear of it.
            let direct = seat.host == from;
            self.strangers.insert(seat.host, (seat.clone(), now));
            if direct && let Some(writer) = self.writer(now) {
                self.send(writer, Word::Announce(seat));
            }
        }
    }

    /// Tells another store the list of seats.
    pub(crate) fn tell_seats(&mut self, to: Host) {
        if let Some(entry) = self.items.get(SEATS).and_then(|item| item.chosen.clone()) {
            self.send(to, Word::Parts(vec![(SEATS.to_owned(), entry)]));
        }
    }

    pub(crate) fn chair(&mut self, now: Millis) {
        self.told = now;
        let me = self.place.me.clone();
        if self.seats.seats.is_empty() || !self.is_seat(me.host) {
            self.announce(now);
        } else if !self.votes {
            self.sit_down(now);
        }
        if self.seats.seats.is_empty() {
            self.found(now);
        } else if self.votes {
            self.reseat(now);
        }
    }

    /// Who has no seat tells those who may give it one.
    fn announce(&mut self, now: Millis) {
        // Who is about to go wants no seat.
        if now < self.compare_at || self.leaving {
            return;
        }
        self.compare_at = now + ANNOUNCE;
        let me = self.place.me.clone();
        let mut hosts = self.place.seeds.clone();
        hosts.extend(self.others());
        hosts.retain(|host| *host != me.host);
        hosts.sort_unstable();
        hosts.dedup();
        for host in hosts {
            self.send(host, Word::Announce(me.clone()));
        }
    }

    fn found(&mut self, now: Millis) {
        let me = self.place.me.clone();
        let founds = self.place.bootstrap && self.place.seeds.first() == Some(&me.host);
        let (age, many) = (now - self.born, self.strangers.len() + 1);
        if !founds || age < FOUND || many < FOUND_LEAST && age < FOUND_LATEST {
            return;
        }
        let mut seats: Vec<Seat> = self.strangers.values().map(|(seat, _)| seat.clone()).collect();
        seats.push(me.clone());
        seats.sort();
        let stamp = Stamp { epoch: Epoch { round: 1, seat: me.host }, turn: 0 };
        let entry = Entry { stamp, revision: 1, body: Some(to_text(&seats)), ..Entry::default() };
        self.log("founded", format!("seats={}", seats.len()));
        self.votes = true;
        self.merge(vec![(SEATS.to_owned(), entry.clone())]);
        self.vows.promised = self.vows.promised.max(stamp.epoch);
        self.dirty_vows = true;
        for host in self.others() {
            self.send(host, Word::Parts(vec![(SEATS.to_owned(), entry.clone())]));
        }
    }

    /// This machine is on the list and does not vote yet: at the first start of all nothing can have been forgotten, later
    /// everything may have been.
    fn sit_down(&mut self, now: Millis) {
        if self.place.bootstrap && self.seats.version == 1 {
            self.votes = true;
            self.dirty_vows = true;
            self.log("seat-taken", "version=1".into());
            return;
        }
        if now >= self.compare_at {
            self.compare_at = now + BEAT;
            let me = self.place.me.clone();
            for host in self.others() {
                self.send(host, Word::Learn);
                // The list may have changed again before this one could learn: then it is a stranger once more.
                self.send(host, Word::Announce(me.clone()));
            }
        }
    }

    /// Gives the seat of a machine that is gone or about to go to one that waits in its zone.
    fn reseat(&mut self, now: Millis) {
        if now < self.reseat_at || now - self.born < GONE {
            return;
        }
        let me = self.place.me.host;
        self.strangers.retain(|_, (_, heard)| now - *heard < STRANGER);
        let gone = |seat: &Seat| {
            if seat.host == me {
                return self.leaving;
            }
            // One that was never heard may have its seat since a moment ago.
            let new = || now - self.born.max(self.seated) > 2.0 * GONE;
            self.peers.get(&seat.host).map_or_else(new, |p| p.leaving || now - p.heard > GONE)
        };
        let place =
            |stranger: &Seat| self.seats.seats.iter().position(|s| s.zone == stranger.zone && gone(s));
        let lonely = |stranger: &Seat| !self.seats.seats.iter().any(|s| s.zone == stranger.zone);
        let swap = self.strangers.values().find_map(|(stranger, _)| Some((stranger, Some(place(stranger)?))));
        let swap = swap.or_else(|| self.strangers.values().find(|(s, _)| lonely(s)).map(|(s, _)| (s, None)));
        let Some((stranger, place)) = swap else { return };
        let mut seats = self.seats.seats.clone();
        match place {
            Some(place) => seats[place] = stranger.clone(),
            None => seats.push(stranger.clone()),
        }
        seats.sort();
        match &self.turn {
            Turn::Holding(holding) if holding.reseating.is_none() => {
                self.reseat_at = now + RESEAT;
                let revision = self.seats.version + 1;
                let entry = Entry { revision, body: Some(to_text(&seats)), ..Entry::default() };
                self.write(now, vec![(SEATS.to_owned(), entry)], Vec::new());
            }
            Turn::Idle if self.writer(now).is_none() => {
                self.reseat_at = now + SILENT * (1.0 + self.place_in_list() * 0.3);
                self.ask_turn(now);
            }
            _ => {}
        }
    }
}
