//! Settings and addresses for tests.

#![allow(dead_code)]

use fennelscale_admission::admission::{Action, Admission, Capacity, RejectReason, RejectResponse};
use fennelscale_admission::{ConnectionId, Time};
use fennelscale_settings::admission::Admission as Settings;
use fennelscale_settings::operators::Operators;
use std::net::IpAddr;
use std::time::Duration;

/// Parses the text of an operators' settings file.
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

/// The admission control, with its latest actions.
pub struct TestHost {
    pub admission: Admission,
    pub out: Vec<Action>,
}

impl TestHost {
    pub fn new(text: &str, room: Capacity) -> Self {
        Self { admission: Admission::new(&settings(text), room), out: Vec::new() }
    }

    pub fn connect(&mut self, now: Time, from: &str) -> (ConnectionId, Vec<Action>) {
        let id = self.admission.on_connect(now, ip(from), &mut self.out);
        (id, std::mem::take(&mut self.out))
    }

    /// Connects and asserts that the connection is admitted.
    pub fn admit(&mut self, now: Time, from: &str) -> ConnectionId {
        let (id, out) = self.connect(now, from);
        assert!(out.contains(&Action::Admit(id)), "{from}: {out:?}");
        id
    }

    /// Connects and asserts that the connection is rejected; returns how and reason.
    pub fn rejected(&mut self, now: Time, from: &str) -> (ConnectionId, RejectResponse, RejectReason) {
        let (id, out) = self.connect(now, from);
        match out.as_slice() {
            [Action::Reject(rejected, response, reason)] if *rejected == id => (id, *response, *reason),
            other => panic!("{from}: {other:?}"),
        }
    }

    pub fn close(&mut self, now: Time, id: ConnectionId) -> Vec<Action> {
        self.admission.on_close(now, id, &mut self.out);
        std::mem::take(&mut self.out)
    }

    /// Handles one request.
    pub fn serve(&mut self, now: Time, id: ConnectionId, share: Option<f64>) {
        self.admission.on_request_begin(now, id);
        self.admission.on_request(id);
        self.admission.on_response(now, id, share);
    }

    /// Makes a client known by served requests; leaves no connection open.
    pub fn make_known(&mut self, now: Time, from: &str) {
        let id = self.admit(now, from);
        (0..3).for_each(|_| self.serve(now, id, Some(1.0)));
        self.close(now, id);
    }
}
