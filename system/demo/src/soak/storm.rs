//! Faults of a soak with several core machines in each zone: signals that come in series and overlap. What is to be borne is
//! the loss of one zone, so at any time the core machines of one zone only are faulty; now and then all processes of the core
//! are killed at the same moment and are back within a second.

use super::Soak;
use super::faults::{FaultTarget, PlannedFault};
use crate::machines::{REGISTRY, STORE, ZONES, numbered};
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Core machines are faulty in every second span of so many seconds.
const CORE_TURN: u64 = 15;
/// A machine that is back counts as lost for so long.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Of a hundred faults in a span for the core: these are at the whole core, at a core machine, and SIGHUP to one.
const AT_WHOLE_CORE: u32 = 3;
const AT_CORE: u32 = 50;
const HANGUPS: u32 = 60;
/// After all processes of the core were killed they are back within this.
const LONGEST_ABSENCE: Duration = Duration::from_millis(900);

/// The core machines that are faulty, and until when the last ones count as lost.
#[derive(Debug, Default)]
pub struct FaultyCores {
    machines: BTreeSet<(usize, usize)>,
    last: Option<(usize, Duration)>,
}

impl FaultyCores {
    /// Whether a machine may be made faulty now, besides those that are.
    fn may_fail(&self, zone: usize, core: usize, now: Duration) -> bool {
        let is_elsewhere = |other: usize| other != zone;
        !self.machines.contains(&(zone, core))
            && !self.machines.iter().any(|(other, _)| is_elsewhere(*other))
            && !self.last.is_some_and(|(other, until)| is_elsewhere(other) && now < until)
    }

    /// Whether no machine is faulty or counts as lost.
    fn is_calm(&self, now: Duration) -> bool {
        self.machines.is_empty() && self.last.is_none_or(|(_, until)| until <= now)
    }
}

impl Soak {
    /// Injects faults at proxies and core machines until the soak is over. All that is drawn of a fault is drawn before anything else
    /// is looked at.
    pub async fn storm(self: Rc<Self>) {
        let mut chance = ChaCha8Rng::seed_from_u64(self.seed);
        while !self.over.get() {
            let planned = PlannedFault {
                pause: Duration::from_millis(chance.random_range(60..500)),
                proxy: chance.random_range(0..self.proxies.len()),
                zone: chance.random_range(0..ZONES.len()),
                core: chance.random_range(0..self.cores),
                dice: chance.random_range(0..100),
                share: f64::from(chance.random_range(0..1000)) / 1000.0,
            };
            let kind: u32 = chance.random_range(0..100);
            sleep(planned.pause).await;
            if self.over.get() {
                return;
            }
            let is_core_turn = self.now().as_secs() / CORE_TURN % 2 == 1;
            match kind {
                0..AT_WHOLE_CORE if is_core_turn => self.clone().restart_core(planned).await,
                AT_WHOLE_CORE..AT_CORE if is_core_turn => self.clone().inject_at_core(planned),
                AT_CORE..HANGUPS => self.hang_up(planned),
                _ if !self.proxies[planned.proxy].is_faulty.replace(true) => {
                    spawn_local(self.clone().inject_at_proxy(planned));
                }
                _ => {}
            }
        }
    }

    fn inject_at_core(self: Rc<Self>, planned: PlannedFault) {
        let (machine, now) = ((planned.zone, planned.core), self.now());
        if !self.faulty_cores.borrow().may_fail(planned.zone, planned.core, now) {
            return;
        }
        self.faulty_cores.borrow_mut().machines.insert(machine);
        spawn_local(async move {
            self.clone().inject_at_core_machine(planned).await;
            let until = self.now() + CATCH_UP;
            let mut faulty = self.faulty_cores.borrow_mut();
            faulty.machines.remove(&machine);
            faulty.last = Some((machine.0, until));
        });
    }

    /// SIGHUP to a program of a core machine; it excuses nobody.
    fn hang_up(&self, planned: PlannedFault) {
        let program = if planned.dice.is_multiple_of(2) { STORE } else { REGISTRY };
        self.machines.borrow().signal(planned.zone, &numbered(program, planned.core), Signal::HUP);
    }

    /// Kills all processes of the core, which are back within a second.
    async fn restart_core(self: Rc<Self>, planned: PlannedFault) {
        if !self.faulty_cores.borrow().is_calm(self.now()) {
            return;
        }
        let period = self.begin(FaultTarget::WholeCore, "kill all processes of the core".to_owned(), true);
        let programs: Vec<(usize, String)> = (0..ZONES.len())
            .flat_map(|zone| (0..self.cores).map(move |core| (zone, core)))
            .flat_map(|(zone, core)| [STORE, REGISTRY].map(|program| (zone, numbered(program, core))))
            .collect();
        for (zone, program) in &programs {
            self.machines.borrow().signal(*zone, program, Signal::KILL);
        }
        sleep(LONGEST_ABSENCE.mul_f64(planned.share)).await;
        for (zone, program) in &programs {
            self.end_process(*zone, program, Signal::KILL).await;
            let started = self.machines.borrow_mut().start(*zone, program, false);
            if let Err(report) = started {
                self.operator.borrow_mut().wrong.push(format!("{program} did not start: {report}"));
            }
        }
        self.end(period);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn machines_of_one_zone_at_a_time_are_struck() {
        let at = Duration::from_secs;
        let mut faulty = FaultyCores::default();
        assert!(faulty.may_fail(0, 0, at(1)) && faulty.is_calm(at(1)));
        faulty.machines.insert((0, 0));
        assert!(!faulty.may_fail(0, 0, at(1)) && faulty.may_fail(0, 1, at(1)));
        assert!(!faulty.may_fail(1, 0, at(1)) && !faulty.is_calm(at(1)));
        faulty.machines.clear();
        faulty.last = Some((0, at(5)));
        assert!(!faulty.may_fail(1, 0, at(4)) && faulty.may_fail(0, 0, at(4)) && !faulty.is_calm(at(4)));
        assert!(faulty.may_fail(1, 0, at(5)) && faulty.is_calm(at(5)));
    }
}
