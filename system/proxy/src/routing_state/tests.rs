//! Drains, evacuations and what counts as cold after them.

use super::*;
use fennelscale_messages::store::{Entry, Stamp};

const ENDS: f64 = 1_800_000_000_000.0;

fn held() -> RoutingState {
    let zones = [("a", "r"), ("b", "r")].map(|(z, r)| (z.to_owned(), r.to_owned())).into();
    let mut held = RoutingState::new(ProxyLocation {
        host: Host(1),
        zone: "a".into(),
        region: "r".into(),
        zone_regions: zones,
        max_list_age: 500.0,
    });
    let backend = |id: &str, zone: &str| Backend {
        id: id.into(),
        service: "s".into(),
        address: "10.0.0.1:1".into(),
        zone: zone.into(),
        slots: 2,
        draining: false,
        cold_ms: 0,
    };
    let backends = vec![backend("x", "a"), backend("y", "a"), backend("z", "b")];
    held.set_listing(0.0, BackendList { stamp: (1, Host(2)), backends });
    held
}

fn drain(held: &mut RoutingState, now: f64, turn: u64, nodes: &str) {
    let body = (!nodes.is_empty()).then(|| format!(r#"{{"nodes":[{nodes}],"ends":{ENDS}}}"#));
    let stamp = Stamp { sequence: turn, ..Stamp::default() };
    held.merge(now, vec![("d:o".into(), Entry { stamp, body, ..Entry::default() })]);
}

fn ready(held: &mut RoutingState, now: f64) -> Vec<String> {
    held.backends(now, "s").into_iter().filter(|k| k.ready).map(|k| k.backend.id).collect()
}

#[test]
fn what_is_drained_gets_nothing_until_it_is_taken_back_and_is_spared_then() {
    let mut held = held();
    drain(&mut held, 0.0, 1, r#""backend:x""#);
    assert_eq!(ready(&mut held, 1.0), ["y", "z"]);
    drain(&mut held, 2.0, 2, r#""backend:x","zone:b","proxy:0.0.0.1""#);
    assert_eq!(ready(&mut held, 3.0), ["y"]);
    assert!(held.is_drained());
    drain(&mut held, 10.0, 3, "");
    assert_eq!(ready(&mut held, 11.0), ["x", "y", "z"]);
    assert!(!held.is_drained());
    let cold = |held: &mut RoutingState, now| -> Vec<bool> {
        held.backends(now, "s").iter().map(|known| known.terms.cold_until > now).collect()
    };
    assert_eq!(cold(&mut held, 12.0), [true, false, true]);
    assert_eq!(cold(&mut held, 10.0 + BACK_COLD + 501.0), [false, false, false]);
}

const COLD_START: f64 = 3000.0;

/// Ready, with a service whose backends are cold for a while after their start.
fn ready_held() -> RoutingState {
    let mut held = held();
    let body = r#"{"name":"s","coldStart":"3s","coldPerS":6.7,"revision":"00000001"}"#;
    let entry = Entry { stamp: Stamp { sequence: 1, ..Stamp::default() }, revision: 1, ..Entry::default() };
    held.merge(0.0, vec![("s:s".into(), Entry { body: Some(body.into()), ..entry })]);
    held.up_to_date = true;
    held
}

fn evacuation(held: &mut RoutingState, now: f64, revision: u64, on: bool) {
    let entry = Entry {
        stamp: Stamp { sequence: 1 + revision, ..Stamp::default() },
        revision,
        body: on.then(|| "{}".to_owned()),
        ..Entry::default()
    };
    held.merge(now, vec![("e:b".into(), entry)]);
}

fn is_cold(held: &mut RoutingState, now: f64) -> bool {
    let known = held.backends(now, "s");
    known.iter().any(|known| known.backend.zone == "b" && known.terms.cold_until > now)
}

#[test]
fn a_zone_that_is_taken_back_is_cold_until_a_list_that_was_read_later_says_how_it_is() {
    let lag = 500.0;
    let taken_back = |missed_its_beginning: bool| {
        let mut held = ready_held();
        if !missed_its_beginning {
            evacuation(&mut held, 1000.0, 1, true);
        }
        evacuation(&mut held, 10_000.0, 2, false);
        held
    };
    for missed_its_beginning in [false, true] {
        let mut held = taken_back(missed_its_beginning);
        assert!(is_cold(&mut held, 10_000.0 + COLD_START + lag - 1.0), "no list came");
        assert!(!is_cold(&mut held, 10_000.0 + COLD_START + lag));
        // A list that may be older says nothing; one that was read later does.
        let mut held = taken_back(missed_its_beginning);
        let listing = held.listing.clone();
        let at = |number| BackendList { stamp: (number, Host(2)), ..listing.clone() };
        held.set_listing(10_000.0 + lag, at(2));
        assert!(is_cold(&mut held, 10_000.0 + lag));
        held.set_listing(10_000.0 + lag + LIST_WAY, at(3));
        assert!(!is_cold(&mut held, 10_000.0 + lag + LIST_WAY));
    }
}

#[test]
fn an_evacuation_that_had_ended_before_a_life_is_of_no_account_in_it() {
    let mut held = ready_held();
    held.up_to_date = false;
    evacuation(&mut held, 1000.0, 2, false);
    assert!(!is_cold(&mut held, 1000.0));
}

#[test]
fn a_proxy_that_hears_nothing_more_heeds_no_drain_beyond_the_hours() {
    let mut held = held();
    drain(&mut held, 0.0, 1, r#""backend:x""#);
    held.set_true_time(1000.0, Span { earliest: ENDS - 30_500.0, latest: ENDS - 30_000.0 });
    assert!(!held.update_drains(30_000.0), "a second before the end by the latest that it may be");
    assert_eq!(ready(&mut held, 30_000.0), ["y", "z"]);
    assert!(held.update_drains(31_000.0));
    assert_eq!(ready(&mut held, 31_000.0), ["x", "y", "z"]);
}

#[test]
fn a_node_is_quiet_where_nothing_of_this_proxy_is_at_work() {
    let mut held = held();
    drain(&mut held, 0.0, 1, r#""backend:x","zone:b","proxy:0.0.0.9""#);
    let quiet = |working: &[&str]| held.idle_nodes(&working.iter().map(|w| (*w).to_owned()).collect(), true);
    assert_eq!(
        quiet(&[]),
        ["backend:x", "proxy:0.0.0.9", "zone:b"],
        "other proxies' clients are not its own"
    );
    assert_eq!(quiet(&["x", "y"]), ["proxy:0.0.0.9", "zone:b"]);
    assert_eq!(quiet(&["z"]), ["backend:x", "proxy:0.0.0.9"]);
    assert_eq!(quiet(&["gone"]), ["backend:x", "proxy:0.0.0.9"], "it may have been in any zone");
    drain(&mut held, 1.0, 2, r#""zone:a","proxy:0.0.0.1""#);
    assert_eq!(
        held.idle_nodes(&BTreeSet::new(), true),
        Vec::<String>::new(),
        "its own clients are still there"
    );
    assert_eq!(held.idle_nodes(&BTreeSet::new(), false).len(), 2);
}

/// An item of the incident below: a route with its place, or a tenant with its key; none where it was dropped.
fn claim_entry(turn: u64, holder: usize, claim: Option<usize>) -> (String, Entry) {
    let (name, body) = if holder < ROUTES {
        let body = claim.map(|place| {
            format!(
                r#"{{"name":"r{holder}","routeType":"idempotent","public":true,"revision":"{turn:08x}","matchCriteria":{{"pathPrefix":"/p{place}/"}},"action":{{"service":"s","timeout":"4s"}}}}"#
            )
        });
        (format!("r:r{holder}"), body)
    } else {
        let body = claim
            .map(|key| format!(r#"{{"name":"t{holder}","apiKeys":["k{key}"],"revision":"{turn:08x}"}}"#));
        (format!("t:t{holder}"), body)
    };
    let stamp = Stamp { sequence: turn, ..Stamp::default() };
    (name, Entry { stamp, revision: turn, host: "h".into(), body, ..Entry::default() })
}

const ROUTES: usize = 3;
const TENANTS: usize = 3;
const CLAIMS: usize = 3;

/// Which route has each place, and which tenant each key.
fn answers(held: &RoutingState) -> Vec<Option<String>> {
    let route = |place| held.table.route("h", &format!("/p{place}/x")).map(|route| route.name.clone());
    let tenant = |key| held.table.tenant(&format!("k{key}")).map(|tenant| tenant.name.clone());
    (0..CLAIMS).map(route).chain((0..CLAIMS).map(tenant)).collect()
}

/// Who holds what after each change: of routes and of tenants no two share a claim, as the store sees to it.
fn history(moves: &[(usize, usize)]) -> Vec<(String, Entry)> {
    let mut claims: BTreeMap<usize, usize> = BTreeMap::new();
    let mut entries = Vec::new();
    for (holder, claim) in moves {
        let wanted = (*claim < CLAIMS).then_some(*claim);
        let shares = |(other, has): (&usize, &usize)| {
            other != holder && (*other < ROUTES) == (*holder < ROUTES) && Some(*has) == wanted
        };
        if claims.iter().any(shares) {
            continue;
        }
        match wanted {
            Some(claim) => drop(claims.insert(*holder, claim)),
            None => drop(claims.remove(holder)),
        }
        entries.push(claim_entry(entries.len() as u64 + 1, *holder, wanted));
    }
    entries
}

proptest::proptest! {
    // Seen: a proxy refused a route that had been added, and a key that a tenant held, from its start until it was started again.
    // It came about when a place, or a key, had changed hands and the proxy was told of the new holder before an older version of the
    // former one, as from a copy that is behind.
    // Caused by a table that kept one holder of each place: the one that came last hid the other, and left nobody when it went.
    // Proved by playing the same changes in every order: what a table answers has to follow from the newest items alone.
    #[test]
    fn a_table_answers_by_the_newest_items_whatever_the_way_they_came(
        moves in proptest::collection::vec((0..ROUTES + TENANTS, 0..=CLAIMS), 1..12),
        order in proptest::collection::vec(0_usize..64, 1..40),
    ) {
        let history = history(&moves);
        proptest::prop_assume!(!history.is_empty());
        let mut held = held();
        let mut newest: BTreeMap<String, Entry> = BTreeMap::new();
        let rest = history.iter().cloned();
        let told: Vec<_> = order.iter().map(|at| history[at % history.len()].clone()).chain(rest).collect();
        for (name, entry) in told {
            let known = newest.entry(name.clone()).or_insert_with(|| entry.clone());
            if known.stamp < entry.stamp {
                *known = entry.clone();
            }
            held.merge(0.0, vec![(name, entry)]);
            let mut whole = self::held();
            whole.merge(0.0, newest.clone().into_iter().collect());
            proptest::prop_assert_eq!(answers(&held), answers(&whole));
        }
        // All has come: of each claim there is one holder, and it has it.
        for (holder, entry) in &newest {
            let claim = entry.body.as_deref().and_then(|body| {
                (0..CLAIMS).find(|claim| body.contains(&format!("/p{claim}/")) || body.contains(&format!("\"k{claim}\"")))
            });
            let Some(claim) = claim else { continue };
            let at = if holder.starts_with("r:") { claim } else { CLAIMS + claim };
            let answered = answers(&held);
            proptest::prop_assert_eq!(answered[at].as_deref(), Some(&holder[2..]));
        }
    }
}
