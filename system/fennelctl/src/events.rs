//! The event feed, and explanations of one object from its events.

use crate::print_result;
use crate::registry_client::{CallResult, RegistryClient};
use fennelscale_log_writer::{console, print_line, print_message};
use gumdrop::Options;
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::collections::{HashSet, VecDeque};
use std::process::ExitCode;
use std::time::Duration;

/// Interval for polling while there are no new events.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Number of event ids kept to filter out duplicates.
const MAX_REMEMBERED_IDS: usize = 8192;
/// Stop after this many consecutive pages without a matching event: unrelated events keep arriving.
const MAX_EMPTY_PAGES: u32 = 16;
/// Prefixes of item names in events, one for each kind of item.
const ITEM_PREFIXES: [&str; 4] = ["r:", "t:", "s:", "l:"];

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

fn strip_reserved(text: &str) -> String {
    text.replace(['&', '%', '+', ' ', '#'], "")
}

/// Ids of recently seen events.
#[derive(Default)]
struct SeenEvents(HashSet<String>, VecDeque<String>);

impl SeenEvents {
    fn is_new(&mut self, id: String) -> bool {
        if !self.0.insert(id.clone()) {
            return false;
        }
        self.1.push_back(id);
        if self.1.len() > MAX_REMEMBERED_IDS
            && let Some(old) = self.1.pop_front()
        {
            self.0.remove(&old);
        }
        true
    }
}

/// One page of events, the next cursor, and whether events may be missing.
struct Page(Vec<Value>, String, bool);

async fn fetch_page(registries: &RegistryClient, after: &str, filter: &str) -> Result<Page, CallResult> {
    let path = format!("/fennelscale/events?after={}{filter}", strip_reserved(after));
    match registries.call("GET", &path, "").await {
        CallResult::Response(200, body) => {
            let response: Value = sonic_rs::from_str(&body).unwrap_or_default();
            let events = response.get("events").and_then(|e| e.as_array()).map(|e| e.to_vec());
            let missed = response.get("missed").and_then(|m| m.as_bool()) == Some(true);
            Ok(Page(events.unwrap_or_default(), text(&response, "cursor"), missed))
        }
        other => Err(other),
    }
}

fn show(registries: &RegistryClient, event: &Value) {
    if registries.json {
        print_line!("{}", sonic_rs::to_string(event).unwrap_or_default());
        return;
    }
    let field = |name: &str| text(event, name);
    print_line!(
        "{:>10} {:15} {:17} {} ({})",
        field("at"),
        field("by"),
        field("kind"),
        field("what"),
        field("cause")
    );
}

/// Prints events, oldest first. Duplicates, as after switching to another registry, are printed once.
pub async fn follow(registries: &RegistryClient, events: Events) -> ExitCode {
    let mut after = events.after.unwrap_or_default();
    if events.past {
        after = "oldest".into();
    }
    let mut filter = String::new();
    for (name, value) in [("kind", &events.kind), ("what", &events.what)] {
        if let Some(value) = value {
            filter.push_str(&format!("&{name}={}", strip_reserved(value)));
        }
    }
    let (mut seen, mut empty_pages) = (SeenEvents::default(), 0);
    loop {
        let Page(list, cursor, missed) = match fetch_page(registries, &after, &filter).await {
            Ok(page) => page,
            // In follow mode, wait until a registry is reachable again.
            Err(CallResult::OutcomeUnknown) if events.follow => continue,
            Err(other) => return print_result(other),
        };
        if missed && !after.is_empty() {
            print_message!(
                "fennelctl: events may be missing here: a registry ended, was replaced, or this was too long ago"
            );
        }
        for event in &list {
            if seen.is_new(text(event, "id")) {
                show(registries, event);
            }
        }
        if console::is_closed() {
            return ExitCode::SUCCESS;
        }
        // A page without events may still have advanced the cursor.
        empty_pages = if list.is_empty() { empty_pages + 1 } else { 0 };
        let further = empty_pages == 0 || cursor != after;
        after = cursor;
        if further && empty_pages < MAX_EMPTY_PAGES {
            continue;
        }
        if !events.follow {
            if !registries.json {
                print_message!("fennelctl: to go on from here: --after {after}");
            }
            return ExitCode::SUCCESS;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// All events about one object from any registry, oldest first, and whether some may be missing.
async fn events_about(registries: &RegistryClient, what: &str) -> Result<(Vec<Value>, bool), CallResult> {
    let (mut after, mut all, mut missing, mut empty_pages) = ("oldest".to_owned(), Vec::new(), false, 0);
    let (mut seen, filter) = (SeenEvents::default(), format!("&what={}", strip_reserved(what)));
    loop {
        let Page(list, cursor, missed) = fetch_page(registries, &after, &filter).await?;
        missing |= missed;
        empty_pages = if list.is_empty() { empty_pages + 1 } else { 0 };
        let further = empty_pages < MAX_EMPTY_PAGES && (empty_pages == 0 || cursor != after);
        all.extend(list.into_iter().filter(|e| text(e, "what") == what && seen.is_new(text(e, "id"))));
        if !further {
            return Ok((all, missing));
        }
        after = cursor;
    }
}

/// The kind and current version of an item in the configuration, if it exists.
fn current_version(config: &Value, name: &str) -> Option<(&'static str, String)> {
    let named = |list: Option<&Value>| {
        let list = list.and_then(|list| list.as_array())?;
        list.iter().find(|item| text(item, "name") == name).map(|item| text(item, "revision"))
    };
    let items = config.get("upsert").unwrap_or(config);
    let route = || {
        let listeners = items.get("listeners").and_then(|l| l.as_array())?;
        listeners.iter().find_map(|listener| named(listener.get("policy")))
    };
    let tenant = || named(items.get("tenants"));
    let service = || named(items.get("backendPools"));
    route()
        .map(|version| ("route", version))
        .or_else(|| tenant().map(|version| ("tenant", version)))
        .or_else(|| service().map(|version| ("service", version)))
}

/// Explains the consequence of an event of this kind.
fn explanation(kind: &str) -> &'static str {
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

/// Explains one object: its current version, its events, their consequence, and what may be missing.
pub async fn explain(registries: &RegistryClient, explain: Explain) -> ExitCode {
    if explain.request {
        return explain_request(registries, &explain.what).await;
    }
    let mut found = Vec::new();
    let mut missing = false;
    let names = std::iter::once(String::new()).chain(ITEM_PREFIXES.map(str::to_owned));
    for what in names.map(|kind| format!("{kind}{}", explain.what)) {
        match events_about(registries, &what).await {
            Ok((events, missed)) => {
                found.extend(events);
                missing |= missed;
            }
            Err(other) => return print_result(other),
        }
    }
    let config = match registries.call("GET", "/fennelscale/config", "").await {
        CallResult::Response(200, body) => sonic_rs::from_str(&body).unwrap_or_default(),
        _ => Value::default(),
    };
    let current = current_version(&config, &explain.what);
    if registries.json {
        let version = current.as_ref().map_or("null".into(), |(_, v)| format!("\"{v}\""));
        let events: Vec<String> = found.iter().filter_map(|e| sonic_rs::to_string(e).ok()).collect();
        print_line!("{{\"stands\":{version},\"events\":[{}],\"missed\":{missing}}}", events.join(","));
    } else {
        match &current {
            Some((kind, version)) => {
                print_line!("{} {}: version {version} stands, as of a quorum", kind, explain.what)
            }
            None => print_line!("{}: no item of that name stands, as of a quorum", explain.what),
        }
        found.iter().for_each(|event| show(registries, event));
        if let Some(last) = found.last() {
            let explanation = explanation(&text(last, "kind"));
            let rest = if explanation.is_empty() { String::new() } else { format!(": {explanation}") };
            print_line!("last: {}{rest}", text(last, "kind"));
        } else {
            print_line!(
                "no registry that answers has seen anything of it: a call without a clear answer leaves no trace"
            );
        }
        for (at, body) in registries.call_each("/fennelscale/status").await {
            let status: Value = body.and_then(|body| sonic_rs::from_str(&body).ok()).unwrap_or_default();
            let (lagging, fresh) = (text(&status, "sessions_lagging"), text(&status, "copy_fresh"));
            if fresh != "true" || lagging != "0" {
                print_line!(
                    "registry {at}: copy_fresh {fresh}, sessions_lagging {lagging}: its proxies may go by older items"
                );
            }
        }
        if missing {
            print_line!("a registry ended in between: what it saw in its last second may be missing");
        }
    }
    if current.is_none() && found.is_empty() { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

/// Prints what each proxy that received a request did with it.
async fn explain_request(registries: &RegistryClient, id: &str) -> ExitCode {
    let body =
        match registries.call("GET", &format!("/fennelscale/requests/{}", strip_reserved(id)), "").await {
            CallResult::Response(200, body) => body,
            other => return print_result(other),
        };
    let response: Value = sonic_rs::from_str(&body).unwrap_or_default();
    let known = response.get("requests").and_then(|r| r.as_array()).map(|r| r.to_vec()).unwrap_or_default();
    if registries.json {
        print_line!("{body}");
    }
    for one in known.iter().filter(|_| !registries.json) {
        let none = Value::default();
        let record = one.get("course").unwrap_or(&none);
        let field = |name: &str| text(record, name);
        print_line!("proxy {} took it {} ago", text(one, "proxy"), field("ago"));
        if !field("route").is_empty() {
            print_line!(
                "  route {} in version {}, tenant {}",
                field("route"),
                field("revision"),
                field("tenant")
            );
        }
        for attempt in record.get("attempts").and_then(|a| a.as_array()).into_iter().flatten() {
            let field = |name: &str| text(attempt, name);
            let said = match attempt.get("status").and_then(|s| s.as_u64()) {
                Some(status) => format!("{status}, taken as {}", field("taken")),
                None => "no answer here".into(),
            };
            print_line!("  after {} to backend {}: {said}", field("after"), field("backend"));
        }
        let status = record.get("status").and_then(|s| s.as_u64()).unwrap_or(0);
        print_line!("  answered {status} after {}: {}", field("took"), field("why"));
    }
    if known.is_empty() {
        print_message!("fennelctl: no proxy that answers remembers it: each keeps its last 2,048 requests");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
