//! What happened, and what is known of one thing by it.

use crate::gateway::{Asked, Gateways};
use crate::print;
use gumdrop::Options;
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::collections::{HashSet, VecDeque};
use std::process::ExitCode;
use std::time::Duration;

/// While nothing comes events are asked for this often.
const FOLLOW: Duration = Duration::from_millis(500);
/// Ids that are remembered, to leave out what comes again.
const REMEMBERED: usize = 8192;
/// Answers in a row without an event that is wanted, after which no more are looked for: other things happen all the time.
const EMPTY: u32 = 16;
/// Kinds of items, as their names begin in events.
const ITEMS: [&str; 4] = ["r:", "t:", "s:", "l:"];

#[derive(Debug, Options)]
pub struct Events {
    #[options(help = "show this and end")]
    help: bool,
    #[options(help = "go on as events come")]
    follow: bool,
    #[options(help = "only this kind", meta = "KIND")]
    kind: Option<String>,
    #[options(help = "only what begins so", meta = "TEXT")]
    what: Option<String>,
    #[options(help = "from this cursor on", meta = "CURSOR")]
    after: Option<String>,
    #[options(help = "from the oldest that any registry's disk has")]
    past: bool,
}

#[derive(Debug, Options)]
pub struct Explain {
    #[options(help = "show this and end")]
    help: bool,
    #[options(free, required, help = "its name, id or address")]
    what: String,
    #[options(no_short, help = "it is the id of a request: what each proxy that had it did")]
    request: bool,
}

fn text(of: &Value, name: &str) -> String {
    of.get(name).and_then(|v| v.as_str()).unwrap_or_default().to_owned()
}

fn plain(text: &str) -> String {
    text.replace(['&', '%', '+', ' ', '#'], "")
}

/// Ids of events that were shown lately.
#[derive(Default)]
struct Shown(HashSet<String>, VecDeque<String>);

impl Shown {
    fn is_new(&mut self, id: String) -> bool {
        if !self.0.insert(id.clone()) {
            return false;
        }
        self.1.push_back(id);
        if self.1.len() > REMEMBERED
            && let Some(old) = self.1.pop_front()
        {
            self.0.remove(&old);
        }
        true
    }
}

/// One answer: its events, the cursor, whether some may be missing.
struct Page(Vec<Value>, String, bool);

async fn page(gateways: &Gateways, after: &str, filter: &str) -> Result<Page, Asked> {
    let path = format!("/fennelscale/events?after={}{filter}", plain(after));
    match gateways.clear("GET", &path, "").await {
        Asked::Answered(200, body) => {
            let told: Value = sonic_rs::from_str(&body).unwrap_or_default();
            let events = told.get("events").and_then(|e| e.as_array()).map(|e| e.to_vec());
            let missed = told.get("missed").and_then(|m| m.as_bool()) == Some(true);
            Ok(Page(events.unwrap_or_default(), text(&told, "cursor"), missed))
        }
        other => Err(other),
    }
}

fn show(gateways: &Gateways, event: &Value) {
    if gateways.json {
        say!("{}", sonic_rs::to_string(event).unwrap_or_default());
        return;
    }
    let of = |name: &str| text(event, name);
    say!("{:>10} {:15} {:17} {} ({})", of("at"), of("by"), of("kind"), of("what"), of("cause"));
}

/// Shows events, oldest first; those that come again, as after a change of gateway, once.
pub async fn follow(gateways: &Gateways, events: Events) -> ExitCode {
    let mut after = events.after.unwrap_or_default();
    if events.past {
        after = "oldest".into();
    }
    let mut filter = String::new();
    for (name, value) in [("kind", &events.kind), ("what", &events.what)] {
        if let Some(value) = value {
            filter.push_str(&format!("&{name}={}", plain(value)));
        }
    }
    let (mut shown, mut empty) = (Shown::default(), 0);
    loop {
        let Page(list, cursor, missed) = match page(gateways, &after, &filter).await {
            Ok(page) => page,
            // Who follows waits for a gateway to come back.
            Err(Asked::Unclear) if events.follow => continue,
            Err(other) => return print(other),
        };
        if missed && !after.is_empty() {
            eprintln!(
                "fennelctl: events may be missing here: a registry ended, was replaced, or this was too long ago"
            );
        }
        for event in &list {
            if shown.is_new(text(event, "id")) {
                show(gateways, event);
            }
        }
        // Also an answer without events may have come further.
        empty = if list.is_empty() { empty + 1 } else { 0 };
        let further = empty == 0 || cursor != after;
        after = cursor;
        if further && empty < EMPTY {
            continue;
        }
        if !events.follow {
            if !gateways.json {
                eprintln!("fennelctl: to go on from here: --after {after}");
            }
            return ExitCode::SUCCESS;
        }
        tokio::time::sleep(FOLLOW).await;
    }
}

/// Everything that any registry saw of one thing, oldest first, and whether some may be missing.
async fn all_of(gateways: &Gateways, what: &str) -> Result<(Vec<Value>, bool), Asked> {
    let (mut after, mut all, mut missing, mut empty) = ("oldest".to_owned(), Vec::new(), false, 0);
    let (mut shown, filter) = (Shown::default(), format!("&what={}", plain(what)));
    loop {
        let Page(list, cursor, missed) = page(gateways, &after, &filter).await?;
        missing |= missed;
        empty = if list.is_empty() { empty + 1 } else { 0 };
        let further = empty < EMPTY && (empty == 0 || cursor != after);
        all.extend(list.into_iter().filter(|e| text(e, "what") == what && shown.is_new(text(e, "id"))));
        if !further {
            return Ok((all, missing));
        }
        after = cursor;
    }
}

/// The version of an item that stands, by a list of the configuration; none if it does not.
fn standing(config: &Value, name: &str) -> Option<(&'static str, String)> {
    let named = |list: Option<&Value>| {
        let items = list.and_then(|list| list.as_array())?;
        items.iter().find(|item| text(item, "name") == name).map(|item| text(item, "revision"))
    };
    let set = config.get("upsert").unwrap_or(config);
    let route = || {
        let listeners = set.get("listeners").and_then(|l| l.as_array())?;
        listeners.iter().find_map(|listener| named(listener.get("policy")))
    };
    let tenant = || named(set.get("tenants"));
    let service = || named(set.get("backendPools"));
    route()
        .map(|version| ("route", version))
        .or_else(|| tenant().map(|version| ("tenant", version)))
        .or_else(|| service().map(|version| ("service", version)))
}

/// What an event of a kind means for whoever asks why.
fn meaning(kind: &str) -> &'static str {
    match kind {
        "item-chosen" => "that version is in force at every proxy that does not lag",
        "item-dropped" => "it is dropped: requests for it get 404, or 401 for a tenant's keys",
        "zone-evacuated" => "its backends get nothing",
        "zone-back" => "its backends are used again, as cold ones at first",
        "member-left" => "its session ended in order or with its line: no client is sent there",
        "member-silent" => {
            "its session ended in silence: no client is sent there; it may serve on what it knew"
        }
        "member-lagging" => "it holds other items than its registry and may go by older ones",
        "backend-draining" => "it gets nothing new and never will under this id",
        "backend-gone" => "the platform's list no longer has it",
        "copy-doubtful" => "its proxies are sent to other registries",
        "node-draining" | "node-out" => "a work order has it: fennelctl maintenance explain",
        "quota-spent" => "more was asked for than the window had: requests beyond it get 429",
        _ => "",
    }
}

/// What is known of one thing: what stands, what happened to it, what that means, and what may hide more.
pub async fn explain(gateways: &Gateways, explain: Explain) -> ExitCode {
    if explain.request {
        return request(gateways, &explain.what).await;
    }
    let mut found = Vec::new();
    let mut missing = false;
    let names = std::iter::once(String::new()).chain(ITEMS.map(str::to_owned));
    for what in names.map(|kind| format!("{kind}{}", explain.what)) {
        match all_of(gateways, &what).await {
            Ok((events, missed)) => {
                found.extend(events);
                missing |= missed;
            }
            Err(other) => return print(other),
        }
    }
    let config = match gateways.clear("GET", "/fennelscale/config", "").await {
        Asked::Answered(200, body) => sonic_rs::from_str(&body).unwrap_or_default(),
        _ => Value::default(),
    };
    let stands = standing(&config, &explain.what);
    if gateways.json {
        let version = stands.as_ref().map_or("null".into(), |(_, v)| format!("\"{v}\""));
        let events: Vec<String> = found.iter().filter_map(|e| sonic_rs::to_string(e).ok()).collect();
        say!("{{\"stands\":{version},\"events\":[{}],\"missed\":{missing}}}", events.join(","));
    } else {
        match &stands {
            Some((kind, version)) => {
                say!("{} {}: version {version} stands, as of a quorum", kind, explain.what)
            }
            None => say!("{}: no item of that name stands, as of a quorum", explain.what),
        }
        found.iter().for_each(|event| show(gateways, event));
        if let Some(last) = found.last() {
            let meaning = meaning(&text(last, "kind"));
            let rest = if meaning.is_empty() { String::new() } else { format!(": {meaning}") };
            say!("last: {}{rest}", text(last, "kind"));
        } else {
            say!(
                "no registry that answers has seen anything of it: a call without a clear answer leaves no trace"
            );
        }
        for (at, body) in gateways.each("/fennelscale/status").await {
            let status: Value = body.and_then(|body| sonic_rs::from_str(&body).ok()).unwrap_or_default();
            let (lagging, fresh) = (text(&status, "sessions_lagging"), text(&status, "copy_fresh"));
            if fresh != "true" || lagging != "0" {
                say!(
                    "registry {at}: copy_fresh {fresh}, sessions_lagging {lagging}: its proxies may go by older items"
                );
            }
        }
        if missing {
            say!("a registry ended in between: what it saw in its last second may be missing");
        }
    }
    if stands.is_none() && found.is_empty() { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

/// What each proxy that had a request did with it.
async fn request(gateways: &Gateways, id: &str) -> ExitCode {
    let body = match gateways.clear("GET", &format!("/fennelscale/requests/{}", plain(id)), "").await {
        Asked::Answered(200, body) => body,
        other => return print(other),
    };
    let told: Value = sonic_rs::from_str(&body).unwrap_or_default();
    let known = told.get("requests").and_then(|r| r.as_array()).map(|r| r.to_vec()).unwrap_or_default();
    if gateways.json {
        say!("{body}");
    }
    for one in known.iter().filter(|_| !gateways.json) {
        let none = Value::default();
        let course = one.get("course").unwrap_or(&none);
        let of = |name: &str| text(course, name);
        say!("proxy {} took it {} ago", text(one, "proxy"), of("ago"));
        if !of("route").is_empty() {
            say!("  route {} in version {}, tenant {}", of("route"), of("revision"), of("tenant"));
        }
        for attempt in course.get("attempts").and_then(|a| a.as_array()).into_iter().flatten() {
            let of = |name: &str| text(attempt, name);
            let said = match attempt.get("status").and_then(|s| s.as_u64()) {
                Some(status) => format!("{status}, taken as {}", of("taken")),
                None => "no answer here".into(),
            };
            say!("  after {} to backend {}: {said}", of("after"), of("backend"));
        }
        let status = course.get("status").and_then(|s| s.as_u64()).unwrap_or(0);
        say!("  answered {status} after {}: {}", of("took"), of("why"));
    }
    if known.is_empty() {
        eprintln!("fennelctl: no proxy that answers remembers it: each keeps its last 2,048 requests");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
