//! What a world tells of itself when it has been played: times, sizes, and the state of each machine.

use super::{Call, Simulation};
use crate::Millis;
use crate::proxy::Proxy;

impl Simulation {
    /// Of changes that were acknowledged: how long that took from the first try, and from then until every proxy held them.
    pub fn change_times(&self) -> Vec<(Millis, Option<Millis>)> {
        let done = self.calls.iter().filter(|call| call.name != "s:s");
        let times = |call: &Call| {
            let at = call.acknowledged?;
            Some((at - call.sent, call.everywhere.map(|all| (all - at).max(0.0))))
        };
        done.filter_map(times).collect()
    }

    /// How long the text of all that the largest store, registry, list of items and cache hold is: what grows there grows here.
    pub fn state_sizes(&self) -> [usize; 4] {
        let largest = |sizes: Vec<usize>| sizes.into_iter().max().unwrap_or(0);
        let text = |it: &dyn std::fmt::Debug| format!("{it:?}").len();
        let stores = self.cores.iter().filter_map(|core| core.book.as_ref()).map(|book| text(book));
        let registries = self.cores.iter().filter_map(|core| core.round.as_ref()).map(|round| text(round));
        let (stores, registries) = (stores.collect(), registries.collect());
        let [held, caches] = [Proxy::held_size, Proxy::cache_size]
            .map(|size| largest(self.proxies.iter().map(size).collect()));
        [largest(stores), largest(registries), held, caches]
    }

    /// What each store and proxy is at, a line for each, for whoever reads a schedule that failed.
    pub fn states(&self) -> String {
        let mut lines = String::new();
        for (n, core) in self.cores.iter().enumerate() {
            let line = match &core.book {
                None => "down".to_owned(),
                Some(book) => {
                    let hosts: Vec<u32> = book.members().members.iter().map(|seat| seat.host.0 - 1).collect();
                    format!(
                        "votes={} writes={} fresh={} promised={:?} position={:?} seats={} {hosts:?}",
                        book.is_voting(),
                        book.is_leader(),
                        book.is_up_to_date(),
                        book.acceptor().promised,
                        book.position(),
                        book.members().version,
                    )
                }
            };
            lines.push_str(&format!("core {n} gone={}: {line}\n", self.gone.contains(&n)));
        }
        for (n, proxy) in self.proxies.iter().enumerate() {
            let (session, ready) = (proxy.session.map(|(core, _)| core), proxy.held.is_ready());
            lines.push_str(&format!("proxy {n}: up={} session={session:?} ready={ready}\n", proxy.up));
        }
        for call in self.calls.iter().filter(|call| call.acknowledged.is_none()) {
            lines.push_str(&format!("open: {} {} asked={:?}\n", call.name, call.revision, call.asked));
        }
        lines.push_str(&format!(
            "cut: cores {:?}, one way {:?}, proxies {:?}\n",
            self.cut_cores, self.one_way, self.cut_proxies
        ));
        lines
    }

    /// Changes that were acknowledged.
    pub fn acknowledged(&self) -> usize {
        self.calls.iter().filter(|call| call.acknowledged.is_some()).count()
    }
}
