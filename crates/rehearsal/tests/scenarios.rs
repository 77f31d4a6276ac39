//! Scenario files: the shipped ones hold, and faults are told with their place. Days: drawn from the seed alone.

use fennelscale_rehearsal::plan::Day;
use fennelscale_rehearsal::scenario::{Scenario, TroubleKind};
use fennelscale_rehearsal::shipped::{DEFAULT, SHIPPED, shipped};

fn text() -> String {
    shipped("drill").expect("shipped").to_owned()
}

/// The error of the drill with one text in place of another, and the line on which that stands.
fn fault(old: &str, new: &str) -> (String, usize) {
    let text = text();
    let at = text.find(old).unwrap_or_else(|| panic!("{old} is not in it"));
    let line = text[..at].matches('\n').count() + 1;
    let error = Scenario::parse("day.toml", &text.replacen(old, new, 1)).expect_err(new);
    (error.to_string(), line)
}

#[test]
fn the_shipped_scenarios_can_be_used_and_bear_their_names() {
    assert!(SHIPPED.len() >= 8);
    for (name, text) in SHIPPED {
        let scenario = Scenario::parse(name, text).unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(scenario.name, name);
        assert!(scenario.length.0 < 60_000.0, "{name}");
    }
}

#[test]
fn the_default_is_the_batch_day_that_operators_fear() {
    let day = Scenario::parse(DEFAULT, shipped(DEFAULT).expect("shipped")).expect("a scenario");
    let share = |kind| day.trouble.iter().find(|t| t.kind == kind).map_or(0.0, |t| t.part());
    assert_eq!(share(TroubleKind::KillGateways), 0.43);
    assert_eq!(share(TroubleKind::StallNodes), 0.39);
    assert_eq!(share(TroubleKind::KillNodes), 0.21);
    assert_eq!(share(TroubleKind::Flood), 0.58);
    assert!(day.trouble.iter().any(|t| t.kind == TroubleKind::CounterSlow));
    let struck = Day::draw(&day, 1).struck;
    let count = |kind| day.trouble.iter().position(|t| t.kind == kind).map_or(0, |n| struck[n].len());
    assert_eq!(
        [count(TroubleKind::KillGateways), count(TroubleKind::StallNodes), count(TroubleKind::KillNodes)],
        [3, 5, 3]
    );
}

#[test]
fn faults_name_file_line_and_key() {
    let cases = [
        // The unit is missing, or of another kind.
        ("length = \"9s\"", "length = 9", "length"),
        ("memory = \"4s\"", "memory = \"4\"", "class.memory"),
        ("capacity = \"950/s\"", "capacity = \"950ms\"", "counter.capacity"),
        ("honour = \"65%\"", "honour = \"0.65\"", "clients.honour"),
        // Words that are none, twice, or missing.
        ("skew = 0.7", "skwe = 0.7", "front.skwe"),
        ("effect = \"keyed\"", "effect = \"keyd\"", "class.effect"),
        ("kind = \"drain-nodes\"", "kind = \"drain-node\"", "trouble.kind"),
        // Figures that cannot be.
        ("racks = 2", "racks = 99", "fleet.racks"),
        ("gateways = 3", "gateways = 0", "fleet.gateways"),
        ("cold-from = \"4%\"", "cold-from = \"0%\"", "node.cold-from"),
        ("skew = 0.7", "skew = -1.0", "front.skew"),
        ("tries = 2", "tries = 9", "clients.tries"),
        ("patience = [\"50%\", \"100%\"]", "patience = [\"50%\", \"110%\"]", "clients.patience"),
        ("patience = [\"50%\", \"100%\"]", "patience = [\"90%\", \"60%\"]", "clients.patience"),
        ("ceiling = 1.8", "ceiling = 0.5", "plan.2.ceiling"),
        ("share = \"90%\"", "share = \"900%\"", "trouble.0.share"),
        ("plan = \"izdajatelj\"", "plan = \"izdajateljj\"", "trouble.0.plan"),
        ("at = \"6s\"", "at = \"9s\"", "trouble.4.at"),
    ];
    for (old, new, key) in cases {
        let (error, line) = fault(old, new);
        assert!(error.starts_with(&format!("day.toml:{line}: {key}: ")), "{new}: {error}");
    }
}

#[test]
fn shares_must_add_up_and_troubles_must_be_whole() {
    assert!(fault("share = \"42%\"", "share = \"41%\"").0.contains("add up to 99.0%"));
    assert!(fault("for = \"1s\"\n", "").0.contains("needs a `for`"));
    assert!(fault("share = \"33%\"", "").0.contains("needs a share"));
    assert!(fault("memory = \"4s\"\n", "").0.contains("needs a memory"));
    let every = fault("kind = \"kill-nodes\"", "kind = \"stall-nodes\"").0;
    assert!(every.contains("`every` belongs to stall-nodes"), "{every}");
}

#[test]
fn a_file_that_is_no_toml_or_lacks_a_table_is_an_error_too() {
    assert!(Scenario::parse("x", "length = ").is_err());
    assert!(Scenario::parse("x", "").is_err_and(|e| e.to_string().contains("missing field")));
    assert!(Scenario::parse("x", &text().replace("[fleet]", "[feet]")).is_err());
}

#[test]
fn the_same_seed_draws_the_same_day_and_another_seed_another() {
    let scenario = Scenario::parse("drill", &text()).expect("a scenario");
    let (one, two, other) = (Day::draw(&scenario, 7), Day::draw(&scenario, 7), Day::draw(&scenario, 8));
    assert_eq!(format!("{one:?}"), format!("{two:?}"));
    assert_ne!(one.arrivals, other.arrivals);
    assert!(one.arrivals.is_sorted_by(|a, b| a.at <= b.at));
}

#[test]
fn a_flood_and_accounts_seen_once_bring_their_share_of_the_load() {
    let scenario = Scenario::parse("flood", shipped("flood").expect("shipped")).expect("a scenario");
    let mut counts = [0usize; 2];
    for seed in 0..10 {
        let day = Day::draw(&scenario, seed);
        let flood: Vec<u32> = day.struck[0].iter().map(|a| *a as u32).collect();
        assert_eq!(flood.len(), 3);
        counts[0] += day.arrivals.iter().filter(|a| flood.contains(&a.account)).count();
        // Accounts seen once are drawn last, behind those that flood.
        counts[1] += day.accounts.len() - 1 - day.struck[0][2];
    }
    // 60% of 120 a second over 18 s, 40% over 12 s: ten days each.
    let near = |count: usize, wanted: f64| (count as f64 / wanted - 1.0).abs() < 0.06;
    assert!(near(counts[0], 10.0 * 72.0 * 18.0) && near(counts[1], 10.0 * 48.0 * 12.0), "{counts:?}");
}

#[test]
fn weights_add_up_and_move() {
    let scenario = Scenario::parse(DEFAULT, shipped(DEFAULT).expect("shipped")).expect("a scenario");
    let day = Day::draw(&scenario, 3);
    let sums = (0..day.accounts.len()).map(|a| day.weights(a, 0.0).iter().sum::<f64>());
    sums.for_each(|sum| assert!((sum - 1.0).abs() < 1e-9));
    assert_ne!(day.weights(0, 0.0), day.weights(0, scenario.length.0));
    assert!(day.weights(usize::MAX, 0.0).is_empty());
}
