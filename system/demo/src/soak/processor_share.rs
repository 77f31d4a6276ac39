//! Processor shares of a soak: each process runs for its share of a tenth of a second and stands still for the rest, as on
//! machines that grant a share as a quota. That is how the machines always are, so it excuses nobody.

use super::Soak;
use crate::machines::{REGISTRY, STORE, ZONES, numbered};
use rustix::process::Signal;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// A quota is granted anew after this.
const PERIOD: Duration = Duration::from_millis(100);
/// The share of a process of a core machine.
const CORE_SHARE: f64 = 0.3;

impl Soak {
    /// Holds all processes to their shares until the soak is closed.
    pub fn limit_processor_shares(self: &Rc<Self>, proxy_share: f64) {
        for proxy in &self.proxies {
            spawn_local(self.clone().limit_share(proxy.zone, proxy.program.clone(), proxy_share));
        }
        for zone in 0..ZONES.len() {
            for program in (0..self.cores).flat_map(|core| [STORE, REGISTRY].map(|kind| numbered(kind, core)))
            {
                spawn_local(self.clone().limit_share(zone, program, CORE_SHARE));
            }
        }
    }

    async fn limit_share(self: Rc<Self>, zone: usize, program: String, share: f64) {
        while !self.closed.get() {
            sleep(PERIOD.mul_f64(share)).await;
            self.machines.borrow().signal(zone, &program, Signal::STOP);
            sleep(PERIOD.mul_f64(1.0 - share)).await;
            // A process that a fault has stopped stays so.
            if !self.stopped.borrow().contains(&(zone, program.clone())) {
                self.machines.borrow().signal(zone, &program, Signal::CONT);
            }
        }
    }

    /// Stops a process until [`Self::resume`].
    pub(super) fn stop(&self, zone: usize, program: &str) {
        self.stopped.borrow_mut().insert((zone, program.to_owned()));
        self.machines.borrow().signal(zone, program, Signal::STOP);
    }

    /// Lets a stopped process run on.
    pub(super) fn resume(&self, zone: usize, program: &str) {
        self.stopped.borrow_mut().remove(&(zone, program.to_owned()));
        self.machines.borrow().signal(zone, program, Signal::CONT);
    }
}
