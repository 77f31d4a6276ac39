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
            Some((at - call.sent, call.in_force_at.map(|all| (all - at).max(0.0))))
        };
        done.filter_map(times).collect()
    }

    /// How long the text of all that the largest store, registry, list of items and cache hold is: what grows there grows here.
    pub fn state_sizes(&self) -> [usize; 4] {
        let largest = |sizes: Vec<usize>| sizes.into_iter().max().unwrap_or(0);
        let text = |it: &dyn std::fmt::Debug| format!("{it:?}").len();
        let stores = self.cores.iter().filter_map(|core| core.replica.as_ref()).map(|replica| text(replica));
        let registries =
            self.cores.iter().filter_map(|core| core.registry.as_ref()).map(|registry| text(registry));
        let (stores, registries) = (stores.collect(), registries.collect());
        let [routing_states, caches] = [Proxy::routing_state_size, Proxy::cache_size]
            .map(|size| largest(self.proxies.iter().map(size).collect()));
        [largest(stores), largest(registries), routing_states, caches]
    }

    /// What each store and proxy is at, a line for each, for whoever reads a schedule that failed.
    pub fn states(&self) -> String {
        let mut lines = String::new();
        for (n, core) in self.cores.iter().enumerate() {
            let line = match &core.replica {
                None => "down".to_owned(),
                Some(replica) => {
                    let hosts: Vec<u32> =
                        replica.members().members.iter().map(|member| member.host.0 - 1).collect();
                    format!(
                        "votes={} writes={} fresh={} promised={:?} position={:?} seats={} {hosts:?}",
                        replica.is_voting(),
                        replica.is_leader(),
                        replica.is_up_to_date(),
                        replica.acceptor().promised,
                        replica.position(),
                        replica.members().version,
                    )
                }
            };
            lines.push_str(&format!("core {n} gone={}: {line}\n", self.removed.contains(&n)));
        }
        for (n, proxy) in self.proxies.iter().enumerate() {
            let (session, ready) = (proxy.session.map(|(core, _)| core), proxy.routing_state.is_ready());
            lines.push_str(&format!("proxy {n}: up={} session={session:?} ready={ready}\n", proxy.up));
        }
        for call in self.calls.iter().filter(|call| call.acknowledged.is_none()) {
            lines.push_str(&format!("open: {} {} asked={:?}\n", call.name, call.revision, call.asked));
        }
        lines.push_str(&format!(
            "cut: cores {:?}, one way {:?}, proxies {:?}\n",
            self.disconnected_cores, self.disconnected_one_way, self.disconnected_proxies
        ));
        lines
    }

    /// Changes that were acknowledged.
    pub fn acknowledged(&self) -> usize {
        self.calls.iter().filter(|call| call.acknowledged.is_some()).count()
    }
}
