//! The operator of a soak: changes that follow each other, several at once, each sent until it has a clear answer.

use super::judge::{State, Subject, Version};
use super::promises::{LONE_PREFIX, ONCE_PREFIX, ONCE_SERVICE, SINGLE_PREFIX, UPLOAD_PREFIX};
use super::{BAD_PLACES, Soak};
use crate::client::send;
use crate::machines::ZONES;
use crate::steps::HOST;
use hyper::Method;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Services, tenants, places and keys of a soak.
pub const SERVICES: [&str; 4] = ["play", "intake", "scores", "register"];
const TENANTS: usize = 6;
pub const PLACES: usize = 12;
pub const KEYS: usize = 12;
/// A route and a tenant that stay at this revision: invalid calls bring lower ones.
const OVERTAKEN: &str = "overtaken";
const OVERTAKEN_TENANT: usize = 102;
const OVERTAKEN_REVISION: u64 = 0x10;
/// A route and a tenant that never change: overtaken calls bring their place and their key.
const HOLDER: &str = "keyed";
const HELD_PLACE: &str = "/keyed/";
const HOLDER_TENANT: usize = 103;
const HELD_KEY: &str = "\"held\"";
/// Calls that are under way at once, at the most.
const AT_ONCE: usize = 6;
/// Quick and slow changes take turns of so many seconds.
const QUICK_SPAN: u64 = 6;
/// Another control address is asked after this.
const PATIENCE: Duration = Duration::from_secs(1);
/// Calls that add many routes, and how many of each are looked at.
const MOST_BULKS: usize = 3;
const SAMPLES: usize = 2;

/// An item as it was sent last.
#[derive(Clone, Debug, Default)]
struct Item {
    revision: u64,
    /// Index of its subject, where it is read back.
    subject: Option<usize>,
}

/// A call as it went out.
#[derive(Clone, Debug)]
struct Call {
    body: String,
    /// Versions of subjects that it brings: subject and version.
    brings: Vec<(usize, usize)>,
    /// Names that no other call may touch meanwhile.
    holds: BTreeSet<String>,
}

/// What the operator means to be in force.
#[derive(Debug, Default)]
pub struct Operator {
    items: BTreeMap<String, Item>,
    /// The route that has each place, and its service.
    places: Vec<Option<(String, usize)>>,
    /// The tenant that holds each key.
    keys: Vec<Option<usize>>,
    busy: BTreeSet<String>,
    taken: Vec<Call>,
    bulks: usize,
    routes: usize,
    under_way: usize,
    /// Calls that were acknowledged.
    pub acknowledged: usize,
    /// What operators may not be told.
    pub wrong: Vec<String>,
}

fn place_subject(place: usize) -> usize {
    place
}

fn key_subject(key: usize) -> usize {
    PLACES + key
}

/// The path of a place, as a route's prefix.
pub fn prefix(place: usize) -> String {
    format!("/place{place}/")
}

fn rule(name: &str, prefix: &str, service: &str, revision: u64, public: bool) -> String {
    format!(
        r#"{{"name":"{name}","routeType":"idempotent","targetLatency":"800ms","priority":1,"public":{public},"revision":"{revision:08x}","matchCriteria":{{"pathPrefix":"{prefix}"}},"action":{{"service":"{service}","timeout":"4000ms","maxAttempts":2,"allowedRegions":[]}}}}"#
    )
}

/// The routes whose requests can't be repeated.
fn once_rules() -> [String; 4] {
    let once = |name: &str, prefix: &str| {
        rule(name, prefix, ONCE_SERVICE, 1, true).replace("\"idempotent\"", "\"non_idempotent\"")
    };
    let region = format!("\"allowedRegions\":[\"{}\"]", ZONES[0].1);
    [
        once("once", ONCE_PREFIX),
        once("lone", LONE_PREFIX).replace("\"allowedRegions\":[]", &region),
        once("single", SINGLE_PREFIX).replace("\"maxAttempts\":2", "\"maxAttempts\":1"),
        once("load", UPLOAD_PREFIX).replace("non_idempotent", "upload"),
    ]
}

fn tenant(tenant: usize, keys: &[String], revision: u64) -> String {
    format!(
        r#"{{"name":"tenant{tenant}","apiKeys":[{}],"priority":1,"ratePerS":0,"burst":0,"allowedRegions":[],"revision":"{revision:08x}"}}"#,
        keys.join(",")
    )
}

/// A call, as its lists are filled.
#[derive(Default)]
struct Draft {
    rules: Vec<String>,
    tenants: Vec<String>,
    removed: Vec<String>,
    services: Vec<String>,
}

impl Draft {
    fn body(&self) -> String {
        let (rules, tenants) = (self.rules.join(","), self.tenants.join(","));
        let (removed, services) = (self.removed.join(","), self.services.join(","));
        format!(
            r#"{{"upsert":{{"tenants":[{tenants}],"listeners":[{{"hostname":"{HOST}","policy":[{rules}]}}],"backendPools":[{services}]}},"remove":{{"routes":[{removed}]}}}}"#
        )
    }
}

impl Operator {
    /// The next revision of an item: versions go up by uneven steps.
    fn next(&mut self, name: &str, chance: &mut impl Rng) -> u64 {
        let item = self.items.entry(name.to_owned()).or_default();
        item.revision += 1 + u64::from(chance.random_bool(0.2)) * 3;
        item.revision
    }

    /// An item's subject has another version; a subject is made for one that has none.
    fn item_changes(&mut self, soak: &Soak, name: &str, state: State, brings: &mut Vec<(usize, usize)>) {
        let known = self.items.get(name).and_then(|item| item.subject);
        let subject = known.unwrap_or_else(|| soak.subject(name.to_owned(), State::Absent));
        self.items.entry(name.to_owned()).or_default().subject = Some(subject);
        brings.push((subject, soak.version(subject, state)));
    }

    /// Puts a route into a draft.
    fn set_route(
        &mut self, soak: &Soak, draft: &mut Draft, name: &str, place: usize, service: usize,
        brings: &mut Vec<(usize, usize)>,
    ) {
        let revision = self.next(name, &mut *soak.chance.borrow_mut());
        draft.rules.push(rule(name, &prefix(place), SERVICES[service], revision, true));
        self.item_changes(soak, name, State::Is(format!("{revision:08x}")), brings);
    }

    fn drop_route(&mut self, soak: &Soak, draft: &mut Draft, name: &str, brings: &mut Vec<(usize, usize)>) {
        let revision = self.next(name, &mut *soak.chance.borrow_mut());
        draft.removed.push(format!(r#"{{"name":"{name}","revision":"{revision:08x}"}}"#));
        self.item_changes(soak, name, State::Absent, brings);
    }

    fn place_changes(
        &self, soak: &Soak, place: usize, state: State, moves: bool, brings: &mut Vec<(usize, usize)>,
    ) {
        let subject = place_subject(place);
        if moves {
            // The items of a call need not take effect together.
            soak.version(subject, State::Absent);
        }
        brings.push((subject, soak.version(subject, state)));
    }

    /// The first configuration.
    pub fn first(&mut self, soak: &Soak) -> (String, Vec<(usize, usize)>) {
        let (mut draft, mut brings) = (Draft::default(), Vec::new());
        for place in 0..PLACES {
            soak.subject(prefix(place), State::Absent);
        }
        for key in 0..KEYS {
            soak.subject(format!("key{key}"), State::Absent);
        }
        draft.services = SERVICES
            .iter()
            .chain([&ONCE_SERVICE])
            .map(|name| format!(r#"{{"name":"{name}","healthCheckPath":"/health","maxConnections":200,"coldStart":"1s","coldPerS":50,"revision":"00000001"}}"#))
            .collect();
        draft.rules.push(rule(HOLDER, HELD_PLACE, SERVICES[0], 1, false));
        draft.rules.push(rule(OVERTAKEN, "/overtaken/", SERVICES[0], OVERTAKEN_REVISION, true));
        draft.tenants.push(tenant(OVERTAKEN_TENANT, &["\"fixed\"".into()], OVERTAKEN_REVISION));
        draft.tenants.push(tenant(HOLDER_TENANT, &[HELD_KEY.into()], 1));
        draft.rules.extend(once_rules());
        self.places = vec![None; PLACES];
        self.keys = vec![None; KEYS];
        for place in 0..PLACES / 2 {
            let (name, service) = (self.new_route(), place % SERVICES.len());
            self.set_route(soak, &mut draft, &name, place, service, &mut brings);
            self.place_changes(soak, place, State::Is(SERVICES[service].to_owned()), false, &mut brings);
            self.places[place] = Some((name, service));
        }
        for key in 0..KEYS {
            self.keys[key] = Some(key % TENANTS);
            brings.push((
                key_subject(key),
                soak.version(key_subject(key), State::Is(format!("tenant{}", key % TENANTS))),
            ));
        }
        for number in 0..TENANTS {
            self.set_tenant(soak, &mut draft, number, &mut brings);
        }
        (draft.body(), brings)
    }

    fn new_route(&mut self) -> String {
        self.routes += 1;
        format!("r{}", self.routes)
    }

    fn set_tenant(
        &mut self, soak: &Soak, draft: &mut Draft, number: usize, brings: &mut Vec<(usize, usize)>,
    ) {
        let name = format!("tenant{number}");
        let revision = self.next(&name, &mut *soak.chance.borrow_mut());
        let holds = |(key, holder): (usize, &Option<usize>)| {
            (*holder == Some(number)).then(|| format!("\"key{key}\""))
        };
        let keys: Vec<String> = self.keys.iter().enumerate().filter_map(holds).collect();
        draft.tenants.push(tenant(number, &keys, revision));
        self.item_changes(soak, &name, State::Is(format!("{revision:08x}")), brings);
    }

    /// Whether none of these names is touched by a call that is under way.
    fn free(&self, names: &BTreeSet<String>) -> bool {
        self.busy.is_disjoint(names)
    }

    /// A change of one place: another service, another route, no route.
    fn change_place(&mut self, soak: &Soak) -> Option<Call> {
        let (place, service, how) = {
            let mut chance = soak.chance.borrow_mut();
            (
                chance.random_range(0..PLACES),
                chance.random_range(0..SERVICES.len()),
                chance.random_range(0..4),
            )
        };
        let mut holds = BTreeSet::from([prefix(place)]);
        let known = self.places[place].clone();
        holds.extend(known.iter().map(|(name, _)| name.clone()));
        if !self.free(&holds) || known.as_ref().is_some_and(|(_, now)| *now == service) {
            return None;
        }
        let (mut draft, mut brings) = (Draft::default(), Vec::new());
        let state = State::Is(SERVICES[service].to_owned());
        match known {
            Some((name, _)) if how == 0 => {
                self.drop_route(soak, &mut draft, &name, &mut brings);
                self.place_changes(soak, place, State::Absent, false, &mut brings);
                self.places[place] = None;
            }
            Some((name, _)) if how == 1 => {
                let other = self.new_route();
                self.drop_route(soak, &mut draft, &name, &mut brings);
                self.set_route(soak, &mut draft, &other, place, service, &mut brings);
                self.place_changes(soak, place, state, true, &mut brings);
                holds.insert(other.clone());
                self.places[place] = Some((other, service));
            }
            known => {
                let name = known.map_or_else(|| self.new_route(), |(name, _)| name);
                self.set_route(soak, &mut draft, &name, place, service, &mut brings);
                self.place_changes(soak, place, state, false, &mut brings);
                holds.insert(name.clone());
                self.places[place] = Some((name, service));
            }
        }
        Some(Call { body: draft.body(), brings, holds })
    }

    /// Two routes exchange their places.
    fn swap_places(&mut self, soak: &Soak) -> Option<Call> {
        let there: Vec<usize> = (0..PLACES).filter(|place| self.places[*place].is_some()).collect();
        let (one, other) = {
            let mut chance = soak.chance.borrow_mut();
            (*there.choose(&mut *chance)?, *there.choose(&mut *chance)?)
        };
        let (first, second) = (self.places[one].clone()?, self.places[other].clone()?);
        let holds = BTreeSet::from([prefix(one), prefix(other), first.0.clone(), second.0.clone()]);
        if !self.free(&holds) || first.1 == second.1 {
            return None;
        }
        let (mut draft, mut brings) = (Draft::default(), Vec::new());
        for (place, (name, service)) in [(other, first), (one, second)] {
            self.set_route(soak, &mut draft, &name, place, service, &mut brings);
            self.place_changes(soak, place, State::Is(SERVICES[service].to_owned()), true, &mut brings);
            self.places[place] = Some((name, service));
        }
        Some(Call { body: draft.body(), brings, holds })
    }

    /// A key is given to another tenant, taken away, or given back.
    fn change_key(&mut self, soak: &Soak) -> Option<Call> {
        let (key, to) = {
            let mut chance = soak.chance.borrow_mut();
            let to = chance.random_bool(0.75).then(|| chance.random_range(0..TENANTS));
            (chance.random_range(0..KEYS), to)
        };
        let from = self.keys[key];
        let touched: BTreeSet<usize> = from.into_iter().chain(to).collect();
        let mut holds: BTreeSet<String> = touched.iter().map(|number| format!("tenant{number}")).collect();
        holds.insert(format!("key{key}"));
        if !self.free(&holds) || from == to {
            return None;
        }
        let (mut draft, mut brings) = (Draft::default(), Vec::new());
        self.keys[key] = to;
        for number in touched {
            self.set_tenant(soak, &mut draft, number, &mut brings);
        }
        if from.is_some() && to.is_some() {
            soak.version(key_subject(key), State::Absent);
        }
        let state = to.map_or(State::Absent, |number| State::Is(format!("tenant{number}")));
        brings.push((key_subject(key), soak.version(key_subject(key), state)));
        Some(Call { body: draft.body(), brings, holds })
    }

    /// Many routes are added with one call; some of them are looked at.
    fn add_many(&mut self, soak: &Soak) -> Option<Call> {
        if self.bulks >= MOST_BULKS {
            return None;
        }
        self.bulks += 1;
        let count = soak.chance.borrow_mut().random_range(100..350);
        let (mut draft, mut brings) = (Draft::default(), Vec::new());
        for number in 0..count {
            let (name, prefix) =
                (format!("bulk{}-{number}", self.bulks), format!("/bulk{}/{number}/", self.bulks));
            let service = SERVICES[number % SERVICES.len()];
            draft.rules.push(rule(&name, &prefix, service, 1, true));
            if number % (count / SAMPLES) == 0 {
                let subject = soak.subject(prefix, State::Absent);
                brings.push((subject, soak.version(subject, State::Is(service.to_owned()))));
                soak.added.borrow_mut().push(subject);
            }
        }
        Some(Call { body: draft.body(), brings, holds: BTreeSet::new() })
    }

    fn draw(&mut self, soak: &Soak) -> Option<Call> {
        let kind = soak.chance.borrow_mut().random_range(0..100);
        match kind {
            0..45 => self.change_place(soak),
            45..60 => self.swap_places(soak),
            60..97 => self.change_key(soak),
            _ => self.add_many(soak),
        }
    }

    /// A call that may not be taken; its route's place is nobody's.
    fn invalid(&mut self, soak: &Soak) -> String {
        let (place, how) = {
            let mut chance = soak.chance.borrow_mut();
            (chance.random_range(0..BAD_PLACES), chance.random_range(0..7))
        };
        let (name, at) = (format!("bad{place}"), format!("/bad{place}/"));
        let mut draft = Draft::default();
        match how {
            0 => draft.rules.push(rule(&name, &at, "nowhere", 9, true)),
            1 => draft.rules.push(
                rule(&name, &at, SERVICES[0], 9, true)
                    .replace("\"timeout\":\"4000ms\"", "\"timeout\":\"0ms\""),
            ),
            2 => {
                draft.rules.push(rule(&name, &at, SERVICES[0], 9, true));
                draft.rules.push(rule("bad-twin", &at, SERVICES[1], 9, true));
            }
            3 => draft.rules.push(rule(OVERTAKEN, "/overtaken/", "nowhere", 1 + place as u64, true)),
            4 => draft.rules.push(rule(OVERTAKEN, HELD_PLACE, SERVICES[0], 1 + place as u64, true)),
            5 => draft.tenants.push(tenant(OVERTAKEN_TENANT, &[HELD_KEY.into()], 1 + place as u64)),
            _ => {
                draft.rules.push(rule(&name, &at, SERVICES[0], 9, true));
                draft.tenants.push(tenant(100, &["\"shared\"".into()], 1));
                draft.tenants.push(tenant(101, &["\"shared\"".into()], 1));
            }
        }
        draft.body()
    }
}

impl Soak {
    /// Changes come for as long as the soak lasts, at a pace that varies.
    pub async fn operate(self: Rc<Self>) {
        while !self.over.get() {
            let pause = {
                let mut chance = self.chance.borrow_mut();
                // Seconds of quick changes between seconds of slow ones.
                let quick = (self.now().as_secs() / QUICK_SPAN).is_multiple_of(2);
                chance.random_range(if quick { 20..120 } else { 200..900 })
            };
            sleep(Duration::from_millis(pause)).await;
            let dice = self.chance.borrow_mut().random_range(0..100);
            let mut operator = self.operator.borrow_mut();
            if dice < 5 {
                let body = operator.invalid(&self);
                drop(operator);
                spawn_local(self.clone().try_invalid(body));
            } else if dice < 12 {
                let past = operator.taken.choose(&mut *self.chance.borrow_mut()).cloned();
                drop(operator);
                if let Some(call) = past {
                    spawn_local(self.clone().repeat(call));
                }
            } else if operator.under_way < AT_ONCE
                && let Some(call) = operator.draw(&self)
            {
                operator.under_way += 1;
                operator.busy.extend(call.holds.iter().cloned());
                drop(operator);
                spawn_local(self.clone().carry_through(call));
            }
        }
    }

    /// One try at some control address: its status, none without an answer in time.
    async fn try_once(&self, body: &str) -> Option<(u16, String)> {
        let to = {
            let mut chance = self.chance.borrow_mut();
            *self.controls.choose(&mut *chance)?
        };
        let headers = [("Content-Type", "application/json")];
        let call = send(to, Method::PATCH, "/fennelscale/config", &headers, body.to_owned());
        let reply = timeout(PATIENCE, call).await.ok()??;
        Some((reply.status, reply.text()))
    }

    /// Sends a call until it has a clear answer, which for a valid one is that it is taken.
    pub async fn until_taken(&self, what: &str, body: &str) -> bool {
        let mut pause = Duration::from_millis(40);
        while !self.closed.get() {
            match self.try_once(body).await {
                Some((200, _)) => return true,
                Some((status, text)) if (400..500).contains(&status) && status != 408 && status != 429 => {
                    self.operator.borrow_mut().wrong.push(format!("{what}: refused with {status}: {text}"));
                    return false;
                }
                _ => sleep(pause).await,
            }
            pause = (pause * 2).min(Duration::from_millis(600));
        }
        false
    }

    async fn carry_through(self: Rc<Self>, call: Call) {
        let taken = self.until_taken("a change", &call.body).await;
        let mut operator = self.operator.borrow_mut();
        operator.under_way -= 1;
        if taken {
            operator.acknowledged += 1;
            self.acknowledge(&call.brings);
            operator.busy.retain(|name| !call.holds.contains(name));
            operator.taken.push(call);
        }
    }

    async fn repeat(self: Rc<Self>, call: Call) {
        self.until_taken("a change that was acknowledged, sent again", &call.body).await;
    }

    async fn try_invalid(self: Rc<Self>, body: String) {
        if let Some((200, _)) = self.try_once(&body).await {
            self.operator.borrow_mut().wrong.push(format!("an invalid call was taken: {body}"));
        }
    }

    /// Versions have been acknowledged now.
    pub fn acknowledge(&self, brings: &[(usize, usize)]) {
        let now = self.now();
        let mut subjects = self.subjects.borrow_mut();
        for (subject, version) in brings {
            subjects[*subject].versions[*version].acknowledged = Some(now);
        }
    }

    /// A new subject with what it is before the first change.
    pub fn subject(&self, name: String, state: State) -> usize {
        let mut subjects = self.subjects.borrow_mut();
        let first = Version { sent: Duration::ZERO, acknowledged: Some(Duration::ZERO), state };
        subjects.push(Subject { name, versions: vec![first] });
        subjects.len() - 1
    }

    /// A new version of a subject, sent now.
    pub fn version(&self, subject: usize, state: State) -> usize {
        let now = self.now();
        let versions = &mut self.subjects.borrow_mut()[subject].versions;
        versions.push(Version { sent: now, acknowledged: None, state });
        versions.len() - 1
    }

    /// Subjects of items that are read back, by their names.
    pub fn read_back(&self) -> Vec<(String, usize)> {
        let operator = self.operator.borrow();
        operator.items.iter().filter_map(|(name, item)| Some((name.clone(), item.subject?))).collect()
    }
}
