//! Faulty links of a soak: links between proxies and core machines and among core machines are cut, without a reset, in one
//! direction or both, or are narrow, slow or lossy, while changes go on. Needs the feature `link-faults`.
//!
//! The core machine that is cut off from the others excuses nobody: the loss of one is to be borne, and all proxies still
//! reach all machines. A proxy whose own links are faulty is out of touch meanwhile.

use super::Soak;
use super::faults::FaultTarget;
use crate::machines::{LinkFaultVariables, ZONES};
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// For how long links are faulty, at the most: those of the core for longer than whoever was faulty counts as out of touch.
const LONGEST_AT_PROXY: Duration = Duration::from_secs(5);
const LONGEST_AT_CORE: Duration = Duration::from_secs(14);
/// Between two faults of the core's links.
const CORE_PAUSE: Duration = Duration::from_millis(2500);
/// A flapping link changes its state after this.
const FLAP: Duration = Duration::from_millis(700);
/// The narrowest link, in bytes a second, and the largest delay and loss.
const NARROW: u64 = 20_000;
const SLOW_MS: u64 = 300;
const LOSSY_PERCENT: u64 = 40;

/// The variables that programs of this build read; none if their links cannot be faulty.
#[cfg(feature = "link-faults")]
pub fn variables() -> Option<LinkFaultVariables> {
    let (file, address) = (fennelscale_host::LINK_FAULTS_VARIABLE, fennelscale_host::LINK_ADDRESS_VARIABLE);
    Some(LinkFaultVariables { file, address })
}

/// The variables that programs of this build read; none if their links cannot be faulty.
#[cfg(not(feature = "link-faults"))]
pub fn variables() -> Option<LinkFaultVariables> {
    None
}

/// The lines of the file of faulty directions, by the fault that they are of.
#[derive(Debug, Default)]
pub struct LinkFaults {
    lines: BTreeMap<usize, Vec<String>>,
}

/// Which directions between a machine and others are faulty.
#[derive(Clone, Copy, Debug)]
enum Way {
    Both,
    Out,
    In,
}

/// One fault, as it was drawn.
struct PlannedLinkFault {
    proxy: usize,
    zone: usize,
    other_zone: usize,
    way: Way,
    what: String,
    flaps: bool,
    share: f64,
}

impl PlannedLinkFault {
    fn draw(chance: &mut ChaCha8Rng, proxies: usize) -> Self {
        let zone = chance.random_range(0..ZONES.len());
        let other_zone = (zone + chance.random_range(1..ZONES.len())) % ZONES.len();
        let way = [Way::Both, Way::Out, Way::In][chance.random_range(0..3)];
        let what = match chance.random_range(0..10) {
            0..4 => "cut".to_owned(),
            4..6 => format!("narrow {NARROW}"),
            6..8 => format!("slow {SLOW_MS}"),
            _ => format!("lossy {LOSSY_PERCENT}"),
        };
        Self {
            proxy: chance.random_range(0..proxies),
            zone,
            other_zone,
            way,
            what,
            flaps: chance.random_bool(0.3),
            share: f64::from(chance.random_range(100..1000)) / 1000.0,
        }
    }
}

/// The lines for the directions between two machines.
fn directions(one: Ipv4Addr, other: Ipv4Addr, way: Way, what: &str) -> Vec<String> {
    let (out, back) = (format!("{one} {other} {what}"), format!("{other} {one} {what}"));
    match way {
        Way::Both => vec![out, back],
        Way::Out => vec![out],
        Way::In => vec![back],
    }
}

impl Soak {
    fn core_addresses(&self) -> Vec<Ipv4Addr> {
        let machines = self.machines.borrow();
        let address = |zone: usize| (0..self.cores).map(move |core| (zone, core));
        (0..ZONES.len()).flat_map(address).map(|(zone, core)| machines.core_ip(zone, core)).collect()
    }

    /// Sets or removes the lines of a fault.
    fn set_link_fault(&self, period: usize, lines: Vec<String>) {
        let mut faults = self.link_faults.borrow_mut();
        faults.lines.insert(period, lines);
        let text: Vec<&str> = faults.lines.values().flatten().map(String::as_str).collect();
        if let Err(error) = self.machines.borrow().write_link_faults(&text.join("\n")) {
            self.operator.borrow_mut().wrong.push(format!("links: {error}"));
        }
    }

    async fn keep_link_faulty(&self, period: usize, lines: Vec<String>, span: Duration, flaps: bool) {
        if !flaps {
            self.set_link_fault(period, lines);
            return sleep(span).await;
        }
        let until = self.now() + span;
        while self.now() < until {
            self.set_link_fault(period, lines.clone());
            sleep(FLAP).await;
            self.set_link_fault(period, Vec::new());
            sleep(FLAP).await;
        }
    }

    async fn fault_links(self: Rc<Self>, target: FaultTarget, lines: Vec<String>, planned: PlannedLinkFault) {
        let longest = if target == FaultTarget::Core { LONGEST_AT_CORE } else { LONGEST_AT_PROXY };
        let period = self.begin(target, format!("links {}", lines.join(", ")), !planned.flaps);
        self.keep_link_faulty(period, lines, longest.mul_f64(planned.share), planned.flaps).await;
        self.set_link_fault(period, Vec::new());
        self.end(period);
    }

    /// Links between a proxy and one or all core machines are faulty again and again.
    pub async fn break_proxy_links(self: Rc<Self>) {
        let mut chance = ChaCha8Rng::seed_from_u64(self.seed ^ 1);
        while !self.over.get() {
            sleep(Duration::from_millis(chance.random_range(100..900))).await;
            let planned = PlannedLinkFault::draw(&mut chance, self.proxies.len());
            let all = chance.random_bool(0.2);
            let (proxy, place) = (planned.proxy, &self.proxies[planned.proxy]);
            if self.over.get() || place.is_faulty.replace(true) {
                continue;
            }
            let address = self.machines.borrow().proxy_ip(place.zone, &place.program);
            let cores = self.core_addresses();
            let others = if all { &cores[..] } else { &cores[planned.zone..=planned.zone] };
            let lines = others
                .iter()
                .flat_map(|core| directions(address, *core, planned.way, &planned.what))
                .collect();
            let soak = self.clone();
            spawn_local(async move {
                soak.clone().fault_links(FaultTarget::Proxy(proxy), lines, planned).await;
                soak.proxies[proxy].is_faulty.set(false);
            });
        }
    }

    /// One core machine at a time is cut off from one or all others.
    pub async fn break_core_links(self: Rc<Self>) {
        let mut chance = ChaCha8Rng::seed_from_u64(self.seed ^ 2);
        while !self.over.get() {
            sleep(CORE_PAUSE.mul_f64(f64::from(chance.random_range(1..100)) / 100.0)).await;
            let planned = PlannedLinkFault::draw(&mut chance, self.proxies.len());
            let all = chance.random_bool(0.6);
            if self.over.get() || self.core_is_faulty.replace(true) {
                continue;
            }
            let machines = self.core_addresses();
            let cut_off = machines[planned.zone * self.cores];
            let other = machines[planned.other_zone * self.cores];
            let others =
                machines.iter().filter(|machine| **machine != cut_off && (all || **machine == other));
            let lines =
                others.flat_map(|machine| directions(cut_off, *machine, planned.way, "cut")).collect();
            self.clone().fault_links(FaultTarget::Core, lines, planned).await;
            self.core_is_faulty.set(false);
        }
    }
}
