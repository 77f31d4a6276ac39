//! Settings and addresses for tests.

#![allow(dead_code)]

use fennelscale_admission::admission::{Action, Admission, Capacity, RejectReason, RejectResponse};
use fennelscale_admission::{ConnectionId, Time};
use fennelscale_settings::admission::Admission as Settings;
use fennelscale_settings::operators::Operators;
use std::net::IpAddr;
use std::time::Duration;

/// Settings from the text of an operators' file.
pub fn settings(text: &str) -> Settings {
    let operators = Operators::parse("test.toml", text).unwrap_or_else(|error| panic!("{error}"));
    operators.admission.unwrap_or_else(|| panic!("no table"))
}

pub fn at(ms: u64) -> Time {
    Duration::from_millis(ms)
}

pub fn ip(text: &str) -> IpAddr {
    text.parse().unwrap_or_else(|_| panic!("{text}"))
}

pub const CAPACITY: Capacity = Capacity { clients: 10, queued: 4, lingering: 2 };

/// The decisions, with what they said last.
pub struct Door {
    pub admission: Admission,
    pub out: Vec<Action>,
}

impl Door {
    pub fn new(text: &str, room: Capacity) -> Self {
        Self { admission: Admission::new(&settings(text), room), out: Vec::new() }
    }

    pub fn connect(&mut self, now: Time, from: &str) -> (ConnectionId, Vec<Action>) {
        let id = self.admission.on_connect(now, ip(from), &mut self.out);
        (id, std::mem::take(&mut self.out))
    }

    /// Connects, and is admitted for sure.
    pub fn admit(&mut self, now: Time, from: &str) -> ConnectionId {
        let (id, out) = self.connect(now, from);
        assert!(out.contains(&Action::Admit(id)), "{from}: {out:?}");
        id
    }

    /// Connects, and is refused for sure; why.
    pub fn refused(&mut self, now: Time, from: &str) -> (ConnectionId, RejectResponse, RejectReason) {
        let (id, out) = self.connect(now, from);
        match out.as_slice() {
            [Action::Reject(refused, tell, why)] if *refused == id => (id, *tell, *why),
            other => panic!("{from}: {other:?}"),
        }
    }

    pub fn close(&mut self, now: Time, id: ConnectionId) -> Vec<Action> {
        self.admission.on_close(now, id, &mut self.out);
        std::mem::take(&mut self.out)
    }

    /// One request, served.
    pub fn serve(&mut self, now: Time, id: ConnectionId, share: Option<f64>) {
        self.admission.on_request_begin(now, id);
        self.admission.on_request(id);
        self.admission.on_response(now, id, share);
    }

    /// A client that was served enough to be known, with nothing open.
    pub fn make_known(&mut self, now: Time, from: &str) {
        let id = self.admit(now, from);
        (0..3).for_each(|_| self.serve(now, id, Some(1.0)));
        self.close(now, id);
    }
}
