//! What became of the last requests here, for operators that ask why. No I/O and no clock of its own.
//!
//! A request is known by the hash of its id. What is told of it: the route and its version, the tenant, each backend that it was
//! sent to and what that said, and how it ended. The last [`KEPT`] that ended are remembered.

use doorcourse::Name;
use fennelscale_config::{Route, Tenant};
use std::collections::{HashMap, VecDeque};
use std::fmt::Write as _;
use std::rc::Rc;

/// Requests that are remembered after their end: some 20 s of a proxy's share on the busiest day that was seen.
const KEPT: usize = 2048;
/// Attempts that are told of one request.
const ATTEMPTS: usize = 8;

#[derive(Clone, Debug)]
struct Attempt {
    at: f64,
    backend: Name,
    /// The answer's status, and what it was taken for.
    answer: Option<(u16, &'static str)>,
}

#[derive(Clone, Debug)]
struct Course {
    begun: f64,
    route: Option<Rc<Route>>,
    tenant: Option<Rc<Tenant>>,
    attempts: Vec<Attempt>,
    /// When and how it ended: the status (0: its client left), and why.
    end: Option<(f64, u16, String)>,
}

/// The requests that are here and those that were last.
#[derive(Debug, Default)]
pub struct Trail {
    open: HashMap<u64, Course>,
    past: VecDeque<(u64, Course)>,
}

impl Trail {
    /// A request was read whole and goes by a route, and by the tenant whose key came with it.
    pub fn begin(&mut self, now: f64, id: u64, route: Rc<Route>, tenant: Option<Rc<Tenant>>) {
        let course = Course { begun: now, route: Some(route), tenant, attempts: Vec::new(), end: None };
        self.open.insert(id, course);
    }

    /// It goes on to a backend.
    pub fn attempt(&mut self, now: f64, id: u64, backend: &Name) {
        if let Some(course) = self.open.get_mut(&id).filter(|course| course.attempts.len() < ATTEMPTS) {
            course.attempts.push(Attempt { at: now, backend: backend.clone(), answer: None });
        }
    }

    /// A backend has answered; of several under way the one sent last that has no answer yet.
    pub fn answered(&mut self, id: u64, status: u16, verdict: &'static str) {
        let Some(course) = self.open.get_mut(&id) else { return };
        if let Some(attempt) = course.attempts.iter_mut().rev().find(|attempt| attempt.answer.is_none()) {
            attempt.answer = Some((status, verdict));
        }
    }

    /// It has its final answer, or its client has left.
    pub fn end(&mut self, now: f64, id: u64, status: u16, why: &str) {
        if let Some(mut course) = self.open.remove(&id) {
            course.end = Some((now, status, why.to_owned()));
            self.keep(id, course);
        }
    }

    /// It was answered here before anything was decided on it.
    pub fn refused(&mut self, now: f64, id: u64, status: u16, why: &str) {
        let end = Some((now, status, why.to_owned()));
        self.keep(id, Course { begun: now, route: None, tenant: None, attempts: Vec::new(), end });
    }

    fn keep(&mut self, id: u64, course: Course) {
        self.past.push_back((id, course));
        if self.past.len() > KEPT {
            self.past.pop_front();
        }
    }

    /// What is known of a request, as JSON; empty if nothing is.
    pub fn recall(&self, now: f64, id: u64) -> String {
        let past = self.past.iter().rev().find(|(known, _)| *known == id).map(|(_, course)| course);
        let Some(course) = self.open.get(&id).or(past) else { return String::new() };
        let quoted = |text: &str| sonic_rs::to_string(text).unwrap_or_else(|_| "\"\"".into());
        let mut text = String::from("{");
        if let Some(route) = &course.route {
            let _ =
                write!(text, "\"route\":{},\"revision\":{},", quoted(&route.name), quoted(&route.revision));
        }
        if let Some(tenant) = &course.tenant {
            let _ = write!(text, "\"tenant\":{},", quoted(&tenant.name));
        }
        let attempts = course.attempts.iter().map(|attempt| {
            let answer = attempt
                .answer
                .map_or(String::new(), |(status, what)| format!(",\"status\":{status},\"taken\":\"{what}\""));
            let after = attempt.at - course.begun;
            format!("{{\"backend\":{},\"after\":\"{after:.0}ms\"{answer}}}", quoted(&attempt.backend))
        });
        let attempts: Vec<String> = attempts.collect();
        let _ = write!(text, "\"ago\":\"{:.0}ms\",\"attempts\":[{}]", now - course.begun, attempts.join(","));
        match &course.end {
            Some((at, status, why)) => {
                let _ = write!(
                    text,
                    ",\"status\":{status},\"why\":{},\"took\":\"{:.0}ms\"}}",
                    quoted(why),
                    at - course.begun
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
    fn a_request_is_told_from_its_route_to_its_end() {
        let mut trail = Trail::default();
        trail.begin(1000.0, 7, route(), None);
        trail.attempt(1001.0, 7, &"i-1".into());
        trail.answered(7, 503, "full");
        trail.attempt(1010.0, 7, &"i-2".into());
        assert!(trail.recall(1020.0, 7).ends_with("\"why\":\"it is not answered yet\"}"));
        trail.answered(7, 200, "served");
        trail.end(1100.0, 7, 200, "served");
        // A word of a backend that comes after the end changes nothing.
        trail.answered(7, 500, "error");
        assert_eq!(
            trail.recall(2000.0, 7),
            "{\"route\":\"a\",\"revision\":\"0000000c\",\"ago\":\"1000ms\",\"attempts\":[\
             {\"backend\":\"i-1\",\"after\":\"1ms\",\"status\":503,\"taken\":\"full\"},\
             {\"backend\":\"i-2\",\"after\":\"10ms\",\"status\":200,\"taken\":\"served\"}],\
             \"status\":200,\"why\":\"served\",\"took\":\"100ms\"}"
        );
        assert_eq!(trail.recall(2000.0, 8), "");
    }

    #[test]
    fn what_is_remembered_is_bounded_and_the_newest_stays() {
        let mut trail = Trail::default();
        for id in 0..10_000 {
            trail.refused(id as f64, id, 404, "no route");
        }
        assert_eq!((trail.past.len(), trail.open.len()), (KEPT, 0));
        assert!(trail.recall(0.0, 9_999).contains("no route") && trail.recall(0.0, 1).is_empty());
        // A request that never ends here is not there: every one has an end, if only that its client left.
        trail.begin(0.0, 1, route(), None);
        (0..100).for_each(|n| trail.attempt(f64::from(n), 1, &"i".into()));
        assert_eq!(trail.open[&1].attempts.len(), ATTEMPTS);
        trail.end(1.0, 1, 0, "its client left");
        assert!(trail.open.is_empty());
    }
}
