//! What proxies are told: items, the list, members, and how gaps are mended.

use crate::feed::Kind;
use crate::{Millis, Out, Round};
use fennelscale_messages::Host;
use fennelscale_messages::depot::{Entry, Named};
use fennelscale_messages::news::{Backend, Down, Listing, Member};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Whether two readings of the list say the same. How long a backend stays cold runs down by itself: that it is says enough,
/// as long as it does not grow.
pub(crate) fn alike(one: &[Backend], other: &[Backend]) -> bool {
    let same = |(a, b): (&Backend, &Backend)| {
        let cold = (a.cold_ms == 0) == (b.cold_ms == 0) && b.cold_ms <= a.cold_ms;
        let (a, b) = (Backend { cold_ms: 0, ..a.clone() }, Backend { cold_ms: 0, ..b.clone() });
        a == b && cold
    };
    one.len() == other.len() && one.iter().zip(other).all(same)
}

impl Round {
    /// Chosen entries from the store: all of them, or those that are new.
    pub fn items(&mut self, now: Millis, whole: bool, entries: Vec<Named>) {
        let mut fresh = Vec::new();
        for (name, entry) in entries {
            self.set_terms(&name, &entry);
            if name.strip_prefix("m:") == Some(crate::FLEET) {
                self.noted = entry.body.as_deref().and_then(|body| body.parse().ok()).unwrap_or(0.0);
            }
            if name.starts_with(fennelscale_maintenance::NIGHT) {
                self.hours.record(now, &name, &entry, &mut self.feed);
                continue;
            }
            if name.starts_with("m:") {
                // The system's own: no proxy needs it.
                continue;
            }
            if !self.items.take(&name, &entry) {
                continue;
            }
            self.hours.item(&name, &entry);
            if !name.starts_with(fennelscale_maintenance::DRAIN) {
                self.note_item(now, &name, &entry);
            }
            fresh.push((name, entry));
        }
        if whole {
            self.out.push(Out::Log("items", format!("count={}", self.items.entries().len())));
        }
        if !fresh.is_empty() {
            self.tell(&Rc::new(Down::Items { whole: false, fresh: self.fresh, entries: fresh }));
        }
    }

    pub(crate) fn tell(&mut self, word: &Rc<Down>) {
        for host in self.members.sessions() {
            self.out.push(Out::Down(host, word.clone()));
        }
    }

    fn note_item(&mut self, now: Millis, name: &str, entry: &Entry) {
        let (kind, what) = match (name.strip_prefix("e:"), entry.body.is_some()) {
            (Some(zone), true) => (Kind::ZoneEvacuated, zone),
            (Some(zone), false) => {
                self.tell_list_from = Some(now + crate::RETURNED);
                (Kind::ZoneBack, zone)
            }
            (None, true) => (Kind::ItemChosen, name),
            (None, false) => (Kind::ItemDropped, name),
        };
        let stamp = entry.stamp;
        let cause = format!(
            "version {:08x}, written by {} in turn {}",
            entry.revision, stamp.epoch.seat, stamp.epoch.round
        );
        self.feed.note(now, kind, what, entry.revision, cause);
    }

    pub(crate) fn note_listing(&mut self, now: Millis, listing: &Listing) {
        let before: BTreeMap<&str, bool> =
            self.listing.backends.iter().map(|b| (b.id.as_str(), b.draining)).collect();
        let cause = format!("list {} read by {}", listing.stamp.0, listing.stamp.1);
        let mut events = Vec::new();
        for backend in &listing.backends {
            match before.get(backend.id.as_str()) {
                None => events.push((Kind::BackendListed, backend.id.clone())),
                Some(false) if backend.draining => events.push((Kind::BackendDraining, backend.id.clone())),
                Some(_) => {}
            }
        }
        let stands = |id: &&str| listing.backends.iter().any(|b| b.id == **id);
        events
            .extend(before.into_keys().filter(|id| !stands(id)).map(|id| (Kind::BackendGone, id.to_owned())));
        for (kind, id) in events {
            self.feed.note(now, kind, &id, 0, cause.clone());
        }
    }

    /// Whether the store's copy is as new as a quorum's.
    pub fn fresh(&mut self, now: Millis, fresh: bool) {
        if fresh != self.fresh {
            let kind = if fresh { Kind::CopyFresh } else { Kind::CopyDoubtful };
            self.feed.note_own(now, kind, &self.me.to_string(), "by the store's beats".into());
        }
        self.informed |= fresh;
        if fresh && !self.fresh {
            // Proxies that wait to be ready may be: what they hold is vouched for from now on.
            self.fresh = true;
            self.tell(&Rc::new(Down::Items { whole: false, fresh: true, entries: Vec::new() }));
        }
        if !fresh && self.fresh {
            self.doubtful = now;
        }
        self.fresh = fresh;
    }

    pub(crate) fn whole(&self) -> Down {
        let entries =
            self.items.entries().iter().map(|(name, entry)| (name.clone(), entry.clone())).collect();
        Down::Items { whole: true, fresh: self.fresh, entries }
    }

    pub(crate) fn hello(&mut self, now: Millis, member: Member) {
        let host = member.host;
        self.out
            .push(Out::Log("session", format!("proxy={host} zone={} life={:x}", member.zone, member.life)));
        self.feed.note(
            now,
            Kind::MemberJoined,
            &host.to_string(),
            member.life,
            format!("zone {}", member.zone),
        );
        self.members.hello(member, now);
        let members = self.members_word(now);
        if let Down::Members(_, count) = &members {
            self.members.tells(now, *count);
        }
        // The list last: with it a proxy is ready, and by then it knows with whom it shares the backends.
        let words = [self.registries(now), members, self.whole(), Down::Listing(self.listing.clone())];
        self.out.extend(words.into_iter().map(|word| Out::Down(host, Rc::new(word))));
        // Others hear of it at once.
        self.beat_at = now;
    }

    pub(crate) fn on_up_beat(
        &mut self, now: Millis, from: Host, ready: bool, items: u64, listing: (u64, Host),
    ) {
        if self.members.beat(from, ready, now) {
            self.beat_at = now;
        }
        let contact_age = self.contact_age(now) as u32;
        if let Some(time) = self.hours.time(now) {
            self.out.push(Out::Down(from, Rc::new(Down::Time(time.earliest, time.latest))));
        }
        self.out.push(Out::Down(from, Rc::new(Down::Beat { contact_age })));
        // News may be on its way: only what differs twice is sent again.
        let differs = items != self.items.sum();
        let again = self.members.differs(from, differs);
        if let Some(lags) = self.members.lags(from, differs, again) {
            let kind = if lags { Kind::MemberLagging } else { Kind::MemberCurrent };
            let cause = format!("its items against those of registry {}", self.me);
            self.feed.note_own(now, kind, &from.to_string(), cause);
        }
        if again {
            let word = Rc::new(self.whole());
            self.out.push(Out::Down(from, word));
        }
        self.highest = self.highest.max(listing.0);
        if listing < self.listing.stamp {
            let word = Rc::new(Down::Listing(self.listing.clone()));
            self.out.push(Out::Down(from, word));
        }
    }

    fn members_word(&self, now: Millis) -> Down {
        // Where each has nothing at work is the registries' matter.
        let members = self.members.all(now).into_iter().map(|m| Member { quiet: Vec::new(), ..m });
        Down::Members(members.collect(), self.told_count(now))
    }

    pub(crate) fn tell_members(&mut self, now: Millis) {
        let count = self.told_count(now);
        if !self.members.may_have_news(now, count) {
            return;
        }
        let word = self.members_word(now);
        if self.members.is_news(&word, now) {
            self.tell(&Rc::new(word));
        }
    }
}
