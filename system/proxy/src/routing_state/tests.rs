//! Tests of drains and evacuations, of what counts as cold after them, and of merging configuration items.

use super::*;
use fennelscale_messages::store::{Entry, Stamp};

const WINDOW_END: f64 = 1_800_000_000_000.0;

fn new_state() -> RoutingState {
    let zones = [("a", "r"), ("b", "r")].map(|(z, r)| (z.to_owned(), r.to_owned())).into();
    let mut state = RoutingState::new(ProxyLocation {
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
    state.set_backend_list(0.0, BackendList { stamp: (1, Host(2)), backends });
    state
}

fn set_drain(state: &mut RoutingState, now: f64, sequence: u64, nodes: &str) {
    let body = (!nodes.is_empty()).then(|| format!(r#"{{"nodes":[{nodes}],"ends":{WINDOW_END}}}"#));
    let stamp = Stamp { sequence, ..Stamp::default() };
    state.merge(now, vec![("d:o".into(), Entry { stamp, body, ..Entry::default() })]);
}

fn ready_backends(state: &mut RoutingState, now: f64) -> Vec<String> {
    state.backends(now, "s").into_iter().filter(|k| k.ready).map(|k| k.backend.id).collect()
}

#[test]
fn drained_nodes_get_no_requests_and_count_as_cold_after_their_return() {
    let mut state = new_state();
    set_drain(&mut state, 0.0, 1, r#""backend:x""#);
    assert_eq!(ready_backends(&mut state, 1.0), ["y", "z"]);
    set_drain(&mut state, 2.0, 2, r#""backend:x","zone:b","proxy:0.0.0.1""#);
    assert_eq!(ready_backends(&mut state, 3.0), ["y"]);
    assert!(state.is_drained());
    set_drain(&mut state, 10.0, 3, "");
    assert_eq!(ready_backends(&mut state, 11.0), ["x", "y", "z"]);
    assert!(!state.is_drained());
    let cold = |state: &mut RoutingState, now| -> Vec<bool> {
        state.backends(now, "s").iter().map(|known| known.parameters.cold_until > now).collect()
    };
    assert_eq!(cold(&mut state, 12.0), [true, false, true]);
    assert_eq!(cold(&mut state, 10.0 + MIN_COLD_AFTER_RETURN + 501.0), [false, false, false]);
}

const COLD_START: f64 = 3000.0;

/// A ready state with a service whose backends are cold for a while after their start.
fn ready_state() -> RoutingState {
    let mut state = new_state();
    let body = r#"{"name":"s","coldStart":"3s","coldPerS":6.7,"revision":"00000001"}"#;
    let entry = Entry { stamp: Stamp { sequence: 1, ..Stamp::default() }, revision: 1, ..Entry::default() };
    state.merge(0.0, vec![("s:s".into(), Entry { body: Some(body.into()), ..entry })]);
    state.up_to_date = true;
    state
}

fn set_evacuation(state: &mut RoutingState, now: f64, revision: u64, on: bool) {
    let entry = Entry {
        stamp: Stamp { sequence: 1 + revision, ..Stamp::default() },
        revision,
        body: on.then(|| "{}".to_owned()),
        ..Entry::default()
    };
    state.merge(now, vec![("e:b".into(), entry)]);
}

fn is_cold(state: &mut RoutingState, now: f64) -> bool {
    let known = state.backends(now, "s");
    known.iter().any(|known| known.backend.zone == "b" && known.parameters.cold_until > now)
}

#[test]
fn a_returned_zone_is_cold_until_a_list_that_was_read_later_arrives() {
    let lag = 500.0;
    let returned_zone = |missed_start: bool| {
        let mut state = ready_state();
        if !missed_start {
            set_evacuation(&mut state, 1000.0, 1, true);
        }
        set_evacuation(&mut state, 10_000.0, 2, false);
        state
    };
    for missed_start in [false, true] {
        let mut state = returned_zone(missed_start);
        assert!(is_cold(&mut state, 10_000.0 + COLD_START + lag - 1.0), "no list arrived");
        assert!(!is_cold(&mut state, 10_000.0 + COLD_START + lag));
        // A list that may have been read before the return proves nothing; one that was read later does.
        let mut state = returned_zone(missed_start);
        let backend_list = state.backend_list.clone();
        let at = |number| BackendList { stamp: (number, Host(2)), ..backend_list.clone() };
        state.set_backend_list(10_000.0 + lag, at(2));
        assert!(is_cold(&mut state, 10_000.0 + lag));
        state.set_backend_list(10_000.0 + lag + LIST_PROPAGATION, at(3));
        assert!(!is_cold(&mut state, 10_000.0 + lag + LIST_PROPAGATION));
    }
}

#[test]
fn an_evacuation_that_ended_before_the_process_started_has_no_effect() {
    let mut state = ready_state();
    state.up_to_date = false;
    set_evacuation(&mut state, 1000.0, 2, false);
    assert!(!is_cold(&mut state, 1000.0));
}

#[test]
fn a_disconnected_proxy_ends_drains_with_the_maintenance_window() {
    let mut state = new_state();
    set_drain(&mut state, 0.0, 1, r#""backend:x""#);
    state.set_true_time(
        1000.0,
        TimeInterval { earliest: WINDOW_END - 30_500.0, latest: WINDOW_END - 30_000.0 },
    );
    assert!(!state.update_drains(30_000.0), "a second before the end, by the latest possible true time");
    assert_eq!(ready_backends(&mut state, 30_000.0), ["y", "z"]);
    assert!(state.update_drains(31_000.0));
    assert_eq!(ready_backends(&mut state, 31_000.0), ["x", "y", "z"]);
}

#[test]
fn a_node_is_idle_if_this_proxy_has_no_work_on_it() {
    let mut state = new_state();
    set_drain(&mut state, 0.0, 1, r#""backend:x","zone:b","proxy:0.0.0.9""#);
    let idle = |working: &[&str]| state.idle_nodes(&working.iter().map(|w| (*w).to_owned()).collect(), true);
    assert_eq!(idle(&[]), ["backend:x", "proxy:0.0.0.9", "zone:b"], "clients of other proxies do not count");
    assert_eq!(idle(&["x", "y"]), ["proxy:0.0.0.9", "zone:b"]);
    assert_eq!(idle(&["z"]), ["backend:x", "proxy:0.0.0.9"]);
    assert_eq!(idle(&["gone"]), ["backend:x", "proxy:0.0.0.9"], "the backend may have been in any zone");
    set_drain(&mut state, 1.0, 2, r#""zone:a","proxy:0.0.0.1""#);
    assert_eq!(
        state.idle_nodes(&BTreeSet::new(), true),
        Vec::<String>::new(),
        "its own clients are still connected"
    );
    assert_eq!(state.idle_nodes(&BTreeSet::new(), false).len(), 2);
}

/// An item for the test below: a route with its path, or a tenant with its key; without a body if the item is
/// removed.
fn claim_entry(sequence: u64, holder: usize, claim: Option<usize>) -> (String, Entry) {
    let (name, body) = if holder < ROUTES {
        let body = claim.map(|path| {
            format!(
                r#"{{"name":"r{holder}","routeType":"idempotent","public":true,"revision":"{sequence:08x}","matchCriteria":{{"pathPrefix":"/p{path}/"}},"action":{{"service":"s","timeout":"4s"}}}}"#
            )
        });
        (format!("r:r{holder}"), body)
    } else {
        let body = claim
            .map(|key| format!(r#"{{"name":"t{holder}","apiKeys":["k{key}"],"revision":"{sequence:08x}"}}"#));
        (format!("t:t{holder}"), body)
    };
    let stamp = Stamp { sequence, ..Stamp::default() };
    (name, Entry { stamp, revision: sequence, host: "h".into(), body, ..Entry::default() })
}

const ROUTES: usize = 3;
const TENANTS: usize = 3;
const CLAIMS: usize = 3;

/// Which route is found for each path, and which tenant for each key.
fn lookups(state: &RoutingState) -> Vec<Option<String>> {
    let route = |path| state.table.route("h", &format!("/p{path}/x")).map(|route| route.name.clone());
    let tenant = |key| state.table.tenant(&format!("k{key}")).map(|tenant| tenant.name.clone());
    (0..CLAIMS).map(route).chain((0..CLAIMS).map(tenant)).collect()
}

/// The entry of each change that the store would accept: no two routes share a path, and no two tenants a
/// key.
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
    // Guards against a table whose lookups depend on the order of arrival. A proxy refused an added route,
    // and a tenant's key, from its start until it was restarted. The path or key had moved to another holder,
    // and the proxy received the new holder before an older version of the former one, as from a replica that
    // is behind. The table kept one holder for each path: the last to arrive hid the other, and its removal
    // left none. The lookups must follow from the newest items alone, whatever the order.
    #[test]
    fn lookups_follow_from_the_newest_items_in_any_order_of_arrival(
        moves in proptest::collection::vec((0..ROUTES + TENANTS, 0..=CLAIMS), 1..12),
        order in proptest::collection::vec(0_usize..64, 1..40),
    ) {
        let history = history(&moves);
        proptest::prop_assume!(!history.is_empty());
        let mut state = new_state();
        let mut newest: BTreeMap<String, Entry> = BTreeMap::new();
        let rest = history.iter().cloned();
        let received: Vec<_> = order.iter().map(|at| history[at % history.len()].clone()).chain(rest).collect();
        for (name, entry) in received {
            let known = newest.entry(name.clone()).or_insert_with(|| entry.clone());
            if known.stamp < entry.stamp {
                *known = entry.clone();
            }
            state.merge(0.0, vec![(name, entry)]);
            let mut expected = new_state();
            expected.merge(0.0, newest.clone().into_iter().collect());
            proptest::prop_assert_eq!(lookups(&state), lookups(&expected));
        }
        // Everything has arrived: each claim has one holder, and the lookup finds it.
        for (holder, entry) in &newest {
            let claim = entry.body.as_deref().and_then(|body| {
                (0..CLAIMS).find(|claim| body.contains(&format!("/p{claim}/")) || body.contains(&format!("\"k{claim}\"")))
            });
            let Some(claim) = claim else { continue };
            let at = if holder.starts_with("r:") { claim } else { CLAIMS + claim };
            let found = lookups(&state);
            proptest::prop_assert_eq!(found[at].as_deref(), Some(&holder[2..]));
        }
    }
}
