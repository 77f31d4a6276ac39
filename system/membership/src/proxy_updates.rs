//! Updates to proxies: the configuration, the backend list and the proxies, and the repair of missed updates.

use crate::copies::CopyStatus;
use crate::feed::EventKind;
use crate::{Millis, Output, RegistryState};
use fennelscale_messages::Host;
use fennelscale_messages::session::{Backend, BackendList, ProxyInfo, RegistryToProxy};
use fennelscale_messages::store::{Entry, NamedEntry};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Whether two lists are equivalent. The remaining cold time of a backend runs down by itself, so it only
/// counts as a change if it grows or reaches zero.
pub(crate) fn same_backends(one: &[Backend], other: &[Backend]) -> bool {
    let same = |(a, b): (&Backend, &Backend)| {
        let cold = (a.cold_ms == 0) == (b.cold_ms == 0) && b.cold_ms <= a.cold_ms;
        let (a, b) = (Backend { cold_ms: 0, ..a.clone() }, Backend { cold_ms: 0, ..b.clone() });
        a == b && cold
    };
    one.len() == other.len() && one.iter().zip(other).all(same)
}

impl RegistryState {
    /// The store reports chosen entries: all of them (`complete`), or new ones.
    pub fn on_items(&mut self, now: Millis, complete: bool, entries: Vec<NamedEntry>) {
        let mut new_entries = Vec::new();
        for (name, entry) in entries {
            self.update_quota_terms(&name, &entry);
            if name.strip_prefix("m:") == Some(crate::PROXY_COUNT_NAME) {
                self.stored_proxy_count =
                    entry.body.as_deref().and_then(|body| body.parse().ok()).unwrap_or(0.0);
            }
            if name.starts_with(fennelscale_maintenance::RECORD_PREFIX) {
                self.maintenance.on_record(now, &name, &entry, &mut self.feed);
                continue;
            }
            if name.starts_with("m:") {
                // Internal to the system; proxies do not need it.
                continue;
            }
            let checksum = self.config.checksum();
            if !self.config.merge(&name, &entry) {
                continue;
            }
            self.recent_checksums.supersede(now, checksum);
            self.maintenance.on_item(&name, &entry);
            if !name.starts_with(fennelscale_maintenance::DRAIN_PREFIX) {
                self.record_item_event(now, &name, &entry);
            }
            new_entries.push((name, entry));
        }
        if complete {
            self.outputs.push(Output::Log("items", format!("count={}", self.config.entries().len())));
        }
        if !new_entries.is_empty() {
            let confirmed = self.freshness.is_fresh(now);
            self.send_to_all_proxies(&Rc::new(RegistryToProxy::Items {
                complete: false,
                up_to_date: confirmed,
                entries: new_entries,
            }));
        }
    }

    pub(crate) fn send_to_all_proxies(&mut self, message: &Rc<RegistryToProxy>) {
        for host in self.proxies.sessions() {
            self.outputs.push(Output::SendToProxy(host, message.clone()));
        }
    }

    fn record_item_event(&mut self, now: Millis, name: &str, entry: &Entry) {
        let (kind, subject) = match (name.strip_prefix("e:"), entry.body.is_some()) {
            (Some(zone), true) => (EventKind::ZoneEvacuated, zone),
            (Some(zone), false) => {
                self.force_list_after = Some(now + crate::RETURNED_ZONE_DELAY);
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
        self.feed.record(now, kind, subject, entry.revision, cause);
    }

    pub(crate) fn record_list_events(&mut self, now: Millis, list: &BackendList) {
        let before: BTreeMap<&str, bool> = self
            .backend_list
            .backends
            .iter()
            .map(|backend| (backend.id.as_str(), backend.draining))
            .collect();
        let cause = format!("list {} read by {}", list.stamp.0, list.stamp.1);
        let mut events = Vec::new();
        for backend in &list.backends {
            match before.get(backend.id.as_str()) {
                None => events.push((EventKind::BackendListed, backend.id.clone())),
                Some(false) if backend.draining => {
                    events.push((EventKind::BackendDraining, backend.id.clone()))
                }
                Some(_) => {}
            }
        }
        let is_listed = |id: &&str| list.backends.iter().any(|backend| backend.id == **id);
        events.extend(
            before.into_keys().filter(|id| !is_listed(id)).map(|id| (EventKind::BackendGone, id.to_owned())),
        );
        for (kind, id) in events {
            self.feed.record(now, kind, &id, 0, cause.clone());
        }
    }

    /// The store reports, from time to time, whether its copy is as new as a quorum's.
    pub fn on_store_freshness(&mut self, now: Millis, fresh: bool) {
        self.store_was_fresh |= fresh;
        self.freshness.update(now, fresh);
        self.update_freshness(now);
    }

    /// Announces a change of whether the copy is fresh.
    pub(crate) fn update_freshness(&mut self, now: Millis) {
        let fresh = self.freshness.is_fresh(now);
        if fresh == self.announced_fresh {
            return;
        }
        self.announced_fresh = fresh;
        let kind = if fresh { EventKind::CopyFresh } else { EventKind::CopyDoubtful };
        self.feed.record_local(now, kind, &self.local_host.to_string(), "by the store's beats".into());
        if fresh {
            // Proxies that wait for a confirmed copy may become ready now.
            self.send_to_all_proxies(&Rc::new(RegistryToProxy::Items {
                complete: false,
                up_to_date: true,
                entries: Vec::new(),
            }));
        }
    }

    /// The entries that a proxy lacks according to the checksums of its parts; all entries if it holds none.
    fn missing_items_message(&self, now: Millis, checksums: Option<&[u64]>) -> RegistryToProxy {
        let entries = self.config.entries_in_differing_parts(checksums.unwrap_or_default());
        RegistryToProxy::Items {
            complete: checksums.is_none(),
            up_to_date: self.freshness.is_fresh(now),
            entries,
        }
    }

    /// A proxy answers a request for its digest. Entries that are only in transit are not resent.
    pub(crate) fn on_digest(&mut self, now: Millis, from: Host, checksums: &[u64]) {
        let checksum = checksums.iter().fold(0, |all, part| all ^ part);
        if self.recent_checksums.compare(now, self.config.checksum(), checksum) != CopyStatus::Differing {
            return;
        }
        let message = self.missing_items_message(now, Some(checksums));
        if let RegistryToProxy::Items { entries, .. } = &message {
            self.resend_counts.1 += entries.len() as u64;
        }
        self.outputs.push(Output::SendToProxy(from, Rc::new(message)));
    }

    /// Starts a session; `checksums` are the part checksums of the configuration that its proxy already
    /// holds.
    pub(crate) fn start_session(&mut self, now: Millis, proxy: ProxyInfo, checksums: Option<&[u64]>) {
        let host = proxy.host;
        self.outputs.push(Output::Log(
            "session",
            format!("proxy={host} zone={} life={:x}", proxy.zone, proxy.incarnation),
        ));
        self.feed.record(
            now,
            EventKind::MemberJoined,
            &host.to_string(),
            proxy.incarnation,
            format!("zone {}", proxy.zone),
        );
        self.proxies.start_session(proxy, now);
        let proxies = self.proxies_message(now);
        if let RegistryToProxy::Proxies(_, count) = &proxies {
            self.proxies.record_sent_count(now, *count);
        }
        // The list comes last: it makes a proxy ready, which by then must know the proxies that share the
        // backends.
        let items = self.missing_items_message(now, checksums);
        let messages = [
            self.registries_message(now),
            proxies,
            items,
            RegistryToProxy::BackendList(self.backend_list.clone()),
        ];
        self.outputs.extend(messages.into_iter().map(|message| Output::SendToProxy(host, Rc::new(message))));
        // Tell the other registries at once.
        self.next_heartbeat = now;
    }

    pub(crate) fn on_proxy_heartbeat(
        &mut self, now: Millis, from: Host, ready: bool, items_hash: u64, list_stamp: (u64, Host),
    ) {
        if self.proxies.heartbeat(from, ready, now) {
            self.next_heartbeat = now;
        }
        let contact_age = self.contact_age(now) as u32;
        if let Some(time) = self.maintenance.true_time(now) {
            self.outputs
                .push(Output::SendToProxy(from, Rc::new(RegistryToProxy::Time(time.earliest, time.latest))));
        }
        self.outputs.push(Output::SendToProxy(from, Rc::new(RegistryToProxy::Heartbeat { contact_age })));
        let status = self.recent_checksums.compare(now, self.config.checksum(), items_hash);
        let comparison = self.proxies.compare_copy(from, now, status);
        if let Some(lags) = comparison.lag_change {
            let kind = if lags { EventKind::MemberLagging } else { EventKind::MemberCurrent };
            let cause = format!("its items against those of registry {}", self.local_host);
            self.feed.record_local(now, kind, &from.to_string(), cause);
        }
        if comparison.needs_digest {
            self.resend_counts.0 += 1;
            self.outputs.push(Output::SendToProxy(from, Rc::new(RegistryToProxy::RequestDigest)));
        }
        self.highest_list_number = self.highest_list_number.max(list_stamp.0);
        if list_stamp < self.backend_list.stamp {
            let message = Rc::new(RegistryToProxy::BackendList(self.backend_list.clone()));
            self.outputs.push(Output::SendToProxy(from, message));
        }
    }

    fn proxies_message(&self, now: Millis) -> RegistryToProxy {
        // Only registries need the nodes at which each proxy is idle.
        let proxies =
            self.proxies.all(now).into_iter().map(|proxy| ProxyInfo { idle_nodes: Vec::new(), ..proxy });
        RegistryToProxy::Proxies(proxies.collect(), self.announced_proxy_count(now))
    }

    pub(crate) fn announce_proxies(&mut self, now: Millis) {
        let count = self.announced_proxy_count(now);
        if !self.proxies.may_have_changed(now, count) {
            return;
        }
        let message = self.proxies_message(now);
        if self.proxies.take_change(&message, now) {
            self.send_to_all_proxies(&Rc::new(message));
        }
    }
}
