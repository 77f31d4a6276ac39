//! What proxies are told: items, the list, members, and how gaps are mended.

use crate::copies::Standing;
use crate::feed::EventKind;
use crate::{Millis, Output, RegistryState};
use fennelscale_messages::Host;
use fennelscale_messages::session::{Backend, BackendList, ProxyInfo, RegistryToProxy};
use fennelscale_messages::store::{Entry, NamedEntry};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Whether two readings of the list say the same. How long a backend stays cold runs down by itself: that it is says enough,
/// as long as it does not grow.
pub(crate) fn same_backends(one: &[Backend], other: &[Backend]) -> bool {
    let same = |(a, b): (&Backend, &Backend)| {
        let cold = (a.cold_ms == 0) == (b.cold_ms == 0) && b.cold_ms <= a.cold_ms;
        let (a, b) = (Backend { cold_ms: 0, ..a.clone() }, Backend { cold_ms: 0, ..b.clone() });
        a == b && cold
    };
    one.len() == other.len() && one.iter().zip(other).all(same)
}

impl RegistryState {
    /// Chosen entries from the store: all of them, or those that are new.
    pub fn on_items(&mut self, now: Millis, whole: bool, entries: Vec<NamedEntry>) {
        let mut fresh = Vec::new();
        for (name, entry) in entries {
            self.set_terms(&name, &entry);
            if name.strip_prefix("m:") == Some(crate::PROXY_COUNT_NAME) {
                self.noted = entry.body.as_deref().and_then(|body| body.parse().ok()).unwrap_or(0.0);
            }
            if name.starts_with(fennelscale_maintenance::RECORD_PREFIX) {
                self.hours.record(now, &name, &entry, &mut self.feed);
                continue;
            }
            if name.starts_with("m:") {
                // The system's own: no proxy needs it.
                continue;
            }
            let sum = self.items.checksum();
            if !self.items.merge(&name, &entry) {
                continue;
            }
            self.sums.superseded(now, sum);
            self.hours.item(&name, &entry);
            if !name.starts_with(fennelscale_maintenance::DRAIN_PREFIX) {
                self.note_item(now, &name, &entry);
            }
            fresh.push((name, entry));
        }
        if whole {
            self.out.push(Output::Log("items", format!("count={}", self.items.entries().len())));
        }
        if !fresh.is_empty() {
            let vouched = self.vouched.holds(now);
            self.tell(&Rc::new(RegistryToProxy::Items {
                complete: false,
                up_to_date: vouched,
                entries: fresh,
            }));
        }
    }

    pub(crate) fn tell(&mut self, word: &Rc<RegistryToProxy>) {
        for host in self.members.sessions() {
            self.out.push(Output::SendToProxy(host, word.clone()));
        }
    }

    fn note_item(&mut self, now: Millis, name: &str, entry: &Entry) {
        let (kind, what) = match (name.strip_prefix("e:"), entry.body.is_some()) {
            (Some(zone), true) => (EventKind::ZoneEvacuated, zone),
            (Some(zone), false) => {
                self.tell_list_from = Some(now + crate::RETURNED_ZONE_DELAY);
                (EventKind::ZoneBack, zone)
            }
            (None, true) => (EventKind::ItemChosen, name),
            (None, false) => (EventKind::ItemDropped, name),
        };
        let stamp = entry.stamp;
        let cause = format!(
            "version {:08x}, written by {} in turn {}",
            entry.revision, stamp.term.leader, stamp.term.number
        );
        self.feed.record(now, kind, what, entry.revision, cause);
    }

    pub(crate) fn note_listing(&mut self, now: Millis, listing: &BackendList) {
        let before: BTreeMap<&str, bool> =
            self.listing.backends.iter().map(|b| (b.id.as_str(), b.draining)).collect();
        let cause = format!("list {} read by {}", listing.stamp.0, listing.stamp.1);
        let mut events = Vec::new();
        for backend in &listing.backends {
            match before.get(backend.id.as_str()) {
                None => events.push((EventKind::BackendListed, backend.id.clone())),
                Some(false) if backend.draining => {
                    events.push((EventKind::BackendDraining, backend.id.clone()))
                }
                Some(_) => {}
            }
        }
        let stands = |id: &&str| listing.backends.iter().any(|b| b.id == **id);
        events.extend(
            before.into_keys().filter(|id| !stands(id)).map(|id| (EventKind::BackendGone, id.to_owned())),
        );
        for (kind, id) in events {
            self.feed.record(now, kind, &id, 0, cause.clone());
        }
    }

    /// Whether the store's copy is as new as a quorum's, as it says now and again.
    pub fn on_store_freshness(&mut self, now: Millis, fresh: bool) {
        self.informed |= fresh;
        self.vouched.told(now, fresh);
        self.look_vouched(now);
    }

    /// The copy is vouched for from now on, or no longer.
    pub(crate) fn look_vouched(&mut self, now: Millis) {
        let vouched = self.vouched.holds(now);
        if vouched == self.told_fresh {
            return;
        }
        self.told_fresh = vouched;
        let kind = if vouched { EventKind::CopyFresh } else { EventKind::CopyDoubtful };
        self.feed.record_local(now, kind, &self.me.to_string(), "by the store's beats".into());
        if vouched {
            // Proxies that wait to be ready may be: what they hold is vouched for from now on.
            self.tell(&Rc::new(RegistryToProxy::Items {
                complete: false,
                up_to_date: true,
                entries: Vec::new(),
            }));
        }
    }

    /// What a proxy lacks, by the parts that it holds; all for one that holds nothing.
    fn lacking(&self, now: Millis, parts: Option<&[u64]>) -> RegistryToProxy {
        let entries = self.items.entries_in_differing_parts(parts.unwrap_or_default());
        RegistryToProxy::Items { complete: parts.is_none(), up_to_date: self.vouched.holds(now), entries }
    }

    /// A proxy tells what it holds, having been asked. What is only on its way is not sent again.
    pub(crate) fn on_have(&mut self, now: Millis, from: Host, parts: &[u64]) {
        let sum = parts.iter().fold(0, |sum, part| sum ^ part);
        if self.sums.standing(now, self.items.checksum(), sum) != Standing::Differing {
            return;
        }
        let word = self.lacking(now, Some(parts));
        if let RegistryToProxy::Items { entries, .. } = &word {
            self.resent.1 += entries.len() as u64;
        }
        self.out.push(Output::SendToProxy(from, Rc::new(word)));
    }

    /// A session begins; `parts` of the items are what its proxy holds already.
    pub(crate) fn hello(&mut self, now: Millis, member: ProxyInfo, parts: Option<&[u64]>) {
        let host = member.host;
        self.out.push(Output::Log(
            "session",
            format!("proxy={host} zone={} life={:x}", member.zone, member.incarnation),
        ));
        self.feed.record(
            now,
            EventKind::MemberJoined,
            &host.to_string(),
            member.incarnation,
            format!("zone {}", member.zone),
        );
        self.members.hello(member, now);
        let members = self.members_word(now);
        if let RegistryToProxy::Proxies(_, count) = &members {
            self.members.tells(now, *count);
        }
        // The list last: with it a proxy is ready, and by then it knows with whom it shares the backends.
        let items = self.lacking(now, parts);
        let words =
            [self.registries(now), members, items, RegistryToProxy::BackendList(self.listing.clone())];
        self.out.extend(words.into_iter().map(|word| Output::SendToProxy(host, Rc::new(word))));
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
            self.out
                .push(Output::SendToProxy(from, Rc::new(RegistryToProxy::Time(time.earliest, time.latest))));
        }
        self.out.push(Output::SendToProxy(from, Rc::new(RegistryToProxy::Heartbeat { contact_age })));
        let standing = self.sums.standing(now, self.items.checksum(), items);
        let compared = self.members.compare(from, now, standing);
        if let Some(lags) = compared.lags {
            let kind = if lags { EventKind::MemberLagging } else { EventKind::MemberCurrent };
            let cause = format!("its items against those of registry {}", self.me);
            self.feed.record_local(now, kind, &from.to_string(), cause);
        }
        if compared.asks {
            self.resent.0 += 1;
            self.out.push(Output::SendToProxy(from, Rc::new(RegistryToProxy::RequestDigest)));
        }
        self.highest = self.highest.max(listing.0);
        if listing < self.listing.stamp {
            let word = Rc::new(RegistryToProxy::BackendList(self.listing.clone()));
            self.out.push(Output::SendToProxy(from, word));
        }
    }

    fn members_word(&self, now: Millis) -> RegistryToProxy {
        // Where each has nothing at work is the registries' matter.
        let members = self.members.all(now).into_iter().map(|m| ProxyInfo { idle_nodes: Vec::new(), ..m });
        RegistryToProxy::Proxies(members.collect(), self.told_count(now))
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
