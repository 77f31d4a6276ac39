//! A trace of the most recent requests, for operators who ask what happened to one. Performs no I/O and reads
//! no clock.
//!
//! A request is identified by the hash of its id. Its record holds the route and its revision, the tenant,
//! each backend that it was sent to with that backend's answer, and how it ended. The last [`MAX_FINISHED`]
//! finished requests are kept.

use doorcourse::Name;
use fennelscale_config::{Route, Tenant};
use std::collections::{HashMap, VecDeque};
use std::fmt::Write as _;
use std::rc::Rc;

/// Finished requests that are kept: about 20 s of the load of one proxy on the busiest day recorded.
const MAX_FINISHED: usize = 2048;
/// Maximum number of attempts kept for one request.
const MAX_ATTEMPTS: usize = 8;

#[derive(Clone, Debug)]
struct Attempt {
    at: f64,
    backend: Name,
    answer: Option<AttemptAnswer>,
    /// How far the request got, if the exchange ended without an answer of its own.
    broke: Option<&'static str>,
}

/// The answer to an attempt.
#[derive(Clone, Copy, Debug)]
struct AttemptAnswer {
    status: u16,
    verdict: &'static str,
    /// What the connection had carried before.
    connection: &'static str,
}

#[derive(Clone, Debug)]
struct RequestRecord {
    started_at: f64,
    route: Option<Rc<Route>>,
    tenant: Option<Rc<Tenant>>,
    attempts: Vec<Attempt>,
    /// When and how it ended: the status (0 if the client disconnected), and the reason.
    end: Option<(f64, u16, String)>,
}

/// The requests in progress and the last finished ones.
#[derive(Debug, Default)]
pub struct RequestTrace {
    active: HashMap<u64, RequestRecord>,
    finished: VecDeque<(u64, RequestRecord)>,
}

impl RequestTrace {
    /// Records a request that was read completely, with its route and the tenant of its API key.
    pub fn begin(&mut self, now: f64, id: u64, route: Rc<Route>, tenant: Option<Rc<Tenant>>) {
        let record =
            RequestRecord { started_at: now, route: Some(route), tenant, attempts: Vec::new(), end: None };
        self.active.insert(id, record);
    }

    /// Records that a request is sent to a backend.
    pub fn record_attempt(&mut self, now: f64, id: u64, backend: &Name) {
        if let Some(record) = self.active.get_mut(&id).filter(|record| record.attempts.len() < MAX_ATTEMPTS) {
            record.attempts.push(Attempt { at: now, backend: backend.clone(), answer: None, broke: None });
        }
    }

    /// Records the answer of a backend, for the latest attempt without one, and what its connection had carried
    /// before.
    pub fn record_answer(&mut self, id: u64, status: u16, verdict: &'static str, connection: &'static str) {
        let Some(record) = self.active.get_mut(&id) else { return };
        if let Some(attempt) = record.attempts.iter_mut().rev().find(|attempt| attempt.answer.is_none()) {
            attempt.answer = Some(AttemptAnswer { status, verdict, connection });
        }
    }

    /// Records that the latest attempt ended without an answer of its own, and how far its request got.
    pub fn record_break(&mut self, id: u64, progress: &'static str) {
        let attempt = self.active.get_mut(&id).and_then(|record| record.attempts.last_mut());
        if let Some(attempt) = attempt.filter(|attempt| attempt.answer.is_none()) {
            attempt.broke = Some(progress);
        }
    }

    /// Records the final answer of a request, or that its client has disconnected.
    pub fn finish(&mut self, now: f64, id: u64, status: u16, why: &str) {
        if let Some(mut record) = self.active.remove(&id) {
            record.end = Some((now, status, why.to_owned()));
            self.store(id, record);
        }
    }

    /// Records a request that was refused before it was passed to the decision module.
    pub fn record_refusal(&mut self, now: f64, id: u64, status: u16, why: &str) {
        let end = Some((now, status, why.to_owned()));
        self.store(
            id,
            RequestRecord { started_at: now, route: None, tenant: None, attempts: Vec::new(), end },
        );
    }

    fn store(&mut self, id: u64, record: RequestRecord) {
        self.finished.push_back((id, record));
        if self.finished.len() > MAX_FINISHED {
            self.finished.pop_front();
        }
    }

    /// The record of a request as JSON; empty if there is none.
    pub fn to_json(&self, now: f64, id: u64) -> String {
        let finished = self.finished.iter().rev().find(|(known, _)| *known == id).map(|(_, record)| record);
        let Some(record) = self.active.get(&id).or(finished) else { return String::new() };
        let quoted = |text: &str| sonic_rs::to_string(text).unwrap_or_else(|_| "\"\"".into());
        let mut text = String::from("{");
        if let Some(route) = &record.route {
            let _ =
                write!(text, "\"route\":{},\"revision\":{},", quoted(&route.name), quoted(&route.revision));
        }
        if let Some(tenant) = &record.tenant {
            let _ = write!(text, "\"tenant\":{},", quoted(&tenant.name));
        }
        let attempts = record.attempts.iter().map(|attempt| {
            let answer = attempt.answer.map_or(String::new(), |answer| {
                let AttemptAnswer { status, verdict, connection } = answer;
                format!(",\"status\":{status},\"taken\":\"{verdict}\",\"connection\":\"{connection}\"")
            });
            let broke = attempt.broke.map_or(String::new(), |progress| format!(",\"broke\":\"{progress}\""));
            let after = attempt.at - record.started_at;
            format!("{{\"backend\":{},\"after\":\"{after:.0}ms\"{answer}{broke}}}", quoted(&attempt.backend))
        });
        let attempts: Vec<String> = attempts.collect();
        let _ = write!(
            text,
            "\"ago\":\"{:.0}ms\",\"attempts\":[{}]",
            now - record.started_at,
            attempts.join(",")
        );
        match &record.end {
            Some((at, status, why)) => {
                let _ = write!(
                    text,
                    ",\"status\":{status},\"why\":{},\"took\":\"{:.0}ms\"}}",
                    quoted(why),
                    at - record.started_at
                );
            }
            None => text.push_str(",\"why\":\"it is not answered yet\"}"),
        }
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn route() -> Rc<Route> {
        let body = r#"{"name":"a","routeType":"idempotent","revision":"0000000c","matchCriteria":{"pathPrefix":"/x/"},
            "action":{"service":"s","timeout":"1s"}}"#;
        let Ok(fennelscale_config::ParsedItem::Route(route)) =
            fennelscale_config::parse_item("r:a", "h", body)
        else {
            panic!("no route")
        };
        Rc::from(route)
    }

    #[test]
    fn a_record_covers_a_request_from_its_route_to_its_end() {
        let mut trace = RequestTrace::default();
        trace.begin(1000.0, 7, route(), None);
        trace.record_attempt(1001.0, 7, &"i-1".into());
        trace.record_answer(7, 503, "full", "new");
        trace.record_attempt(1005.0, 7, &"i-3".into());
        trace.record_break(7, "part_written");
        trace.record_attempt(1010.0, 7, &"i-2".into());
        assert!(trace.to_json(1020.0, 7).ends_with("\"why\":\"it is not answered yet\"}"));
        trace.record_answer(7, 200, "served", "kept");
        trace.finish(1100.0, 7, 200, "served");
        // A late answer of a backend does not change a finished record.
        trace.record_answer(7, 500, "error", "kept");
        assert_eq!(
            trace.to_json(2000.0, 7),
            "{\"route\":\"a\",\"revision\":\"0000000c\",\"ago\":\"1000ms\",\"attempts\":[\
             {\"backend\":\"i-1\",\"after\":\"1ms\",\"status\":503,\"taken\":\"full\",\"connection\":\"new\"},\
             {\"backend\":\"i-3\",\"after\":\"5ms\",\"broke\":\"part_written\"},\
             {\"backend\":\"i-2\",\"after\":\"10ms\",\"status\":200,\"taken\":\"served\",\"connection\":\"kept\"}],\
             \"status\":200,\"why\":\"served\",\"took\":\"100ms\"}"
        );
        assert_eq!(trace.to_json(2000.0, 8), "");
    }

    #[test]
    fn the_trace_is_bounded_and_keeps_the_newest_records() {
        let mut trace = RequestTrace::default();
        for id in 0..10_000 {
            trace.record_refusal(id as f64, id, 404, "no route");
        }
        assert_eq!((trace.finished.len(), trace.active.len()), (MAX_FINISHED, 0));
        assert!(trace.to_json(0.0, 9_999).contains("no route") && trace.to_json(0.0, 1).is_empty());
        // No record stays active forever: every request ends, if only because its client disconnects.
        trace.begin(0.0, 1, route(), None);
        (0..100).for_each(|n| trace.record_attempt(f64::from(n), 1, &"i".into()));
        assert_eq!(trace.active[&1].attempts.len(), MAX_ATTEMPTS);
        trace.finish(1.0, 1, 0, "its client left");
        assert!(trace.active.is_empty());
    }
}
