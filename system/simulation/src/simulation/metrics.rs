//! Results of a simulation: times, sizes, and the state of each machine.

use super::{Call, Simulation};
use crate::Millis;
use crate::proxy::Proxy;

impl Simulation {
    /// For each acknowledged change: the time from its first attempt to the acknowledgement, and from then
    /// until every proxy held it.
    pub fn change_times(&self) -> Vec<(Millis, Option<Millis>)> {
        let done = self.calls.iter().filter(|call| call.name != "s:s");
        let times = |call: &Call| {
            let at = call.acknowledged?;
            Some((at - call.sent, call.in_force_at.map(|all| (all - at).max(0.0))))
        };
        done.filter_map(times).collect()
    }

    /// The length of the `Debug` text of the largest store, registry, routing state and cache. Growth of the
    /// state shows up here.
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

    /// The state of each store and proxy, one line each, for the analysis of failed schedules.
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

    /// The number of acknowledged changes.
    pub fn acknowledged(&self) -> usize {
        self.calls.iter().filter(|call| call.acknowledged.is_some()).count()
    }
}
