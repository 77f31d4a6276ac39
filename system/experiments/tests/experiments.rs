//! Experiments: files that can't be are refused by their place, sets compare as they should, pages hold what was played.

use fennelscale_experiments::figures::{Mean, by_seed, compare};
use fennelscale_experiments::growth::{Size, exponent};
use fennelscale_experiments::page::page;
use fennelscale_experiments::play::{Set, all};
use fennelscale_experiments::scenario::read;
use proptest::prelude::*;

const FILE: &str = r#"
[scenario.flood]
lasts_ms = 6000
proxies = 4
tenants = 2
backends = 4
routes = 2
event = [
    { at_ms = 500, do = "flood", of = [0], times = 6.0 },
    { at_ms = 1000, do = "change" },
    { at_ms = 1500, do = "kill-core", of = [0] },
    { at_ms = 4000, do = "start-core", of = [0] },
]
"#;

#[test]
fn the_files_that_are_shipped_are_read_and_one_that_cannot_be_is_refused_by_its_place() {
    assert_eq!(read(include_str!("../../../docs/examples/experiments.toml")).unwrap().len(), 5);
    assert_eq!(read(FILE).unwrap()[0].events.len(), 4);
    for (from, to, place) in [
        ("lasts_ms = 6000", "lasts_ms = 0", "flood: lasts_ms"),
        ("proxies = 4", "proxies = 0", "proxies: 0"),
        ("proxies = 4", "cores = 2", "cores: 2"),
        ("proxies = 4", "proxis = 4", "proxis"),
        ("do = \"change\"", "do = \"chnage\"", "event 2: do: chnage"),
        ("of = [0], times = 6.0", "of = [2], times = 6.0", "event 1: of: there is no number 2"),
        ("of = [0], times = 6.0", "of = [0]", "event 1: times"),
        ("do = \"kill-core\", of = [0]", "do = \"kill-core\"", "event 3: of"),
        ("do = \"kill-core\", of = [0]", "do = \"one-way\", of = [0]", "event 3: of: two core machines"),
        ("do = \"kill-core\", of = [0]", "do = \"freeze-core\", of = [0]", "event 3: for_ms"),
        ("at_ms = 4000", "at_ms = 7000", "event 4: at_ms"),
        ("[scenario.flood]", "[scenery.flood]", "scenery"),
    ] {
        assert!(FILE.contains(from), "{from}");
        let fault = read(&FILE.replacen(from, to, 1)).unwrap_err().to_string();
        assert!(fault.contains(place), "{to}: {fault}");
    }
}

fn played(file: &str, label: &str) -> Set {
    all(&read(file).unwrap(), 3, 6, label)
}

#[test]
fn the_same_seeds_give_the_same_and_what_is_worse_is_found_to_be() {
    let one = played(FILE, "one");
    assert_eq!(one.scenarios, played(FILE, "again").scenarios);
    let text = serde_json::to_string(&one).unwrap();
    assert_eq!(serde_json::from_str::<Set>(&text).unwrap().scenarios["flood"].len(), 6);
    for pair in compare(&one, &one).unwrap() {
        assert_eq!((pair.difference.of, pair.better), (0.0, None), "{}", pair.figure);
    }
    let other = played(&FILE.replace("times = 6.0", "times = 30.0"), "<other>");
    let pairs = compare(&one, &other).unwrap();
    let better = |figure: &str| pairs.iter().find(|pair| pair.figure == figure).unwrap().better;
    assert_eq!(better("served"), Some(false), "a larger flood, of which less is let in");
    assert_eq!((better("broken"), better("open")), (None, None));
    assert!(by_seed(&one, "flood", "everywhere_ms").values().all(|ms| (1.0..4000.0).contains(ms)));
    // Seeds that only one has are left out; with none in common there is nothing to say.
    assert!(compare(&one, &all(&read(FILE).unwrap(), 100, 2, "elsewhere")).is_err());
    let page = page(&one, Some(&other), &[]).unwrap();
    assert_eq!((page.matches("<svg").count(), page.matches("<polyline").count() > 1), (1, true));
    assert!(page.contains("&lt;other&gt;") && !page.contains("<other>"));
    assert!(page.contains("class=\"worse\"><td>served"));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 60, ..ProptestConfig::default() })]
    #[test]
    fn an_interval_holds_its_mean_and_narrows_with_more_values(values in prop::collection::vec(-50.0..50.0_f64, 4..40)) {
        let few = Mean::new(&values);
        prop_assert!(few.from <= few.of + 1e-9 && few.of <= few.to + 1e-9, "{few:?}");
        let many = Mean::new(&values.iter().cycle().take(values.len() * 16).copied().collect::<Vec<f64>>());
        prop_assert!(many.to - many.from <= (few.to - few.from) * 0.6 + 1e-9, "{few:?} {many:?}");
    }

    #[test]
    fn the_exponent_is_the_one_that_was_put_in(power in -1.0..2.5_f64, factor in 0.1..100.0_f64) {
        let size = |proxies: usize| {
            let core = factor * (proxies as f64).powf(power);
            Size { proxies, sweep: 0.0, core, proxy: 0.0, time: 0.0, held: [0.0; 4] }
        };
        let sizes: Vec<Size> = [16, 75, 300, 750].map(size).into();
        prop_assert!((exponent(&sizes, |s| s.core) - power).abs() < 1e-6);
    }
}
