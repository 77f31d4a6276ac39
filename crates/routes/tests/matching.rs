//! Matching, and joining by the stricter figure.

use fennelscale_routes::cost::{Misfit, cost};
use fennelscale_routes::path::{Unclear, settle};
use fennelscale_routes::rule::{Effect, Group, Parameter, Place, Rule, Units};
use fennelscale_routes::table::{Match, Operation, Source, Table};
use proptest::prelude::*;

fn operation(method: &str, template: &str, rule: Rule) -> Operation {
    let source = Source { file: "d".into(), line: 1, pointer: String::new() };
    Operation { method: method.into(), template: template.into(), id: None, rule, source }
}

fn table(templates: &[&str]) -> Table {
    Table::of(templates.iter().map(|t| operation("GET", t, Rule::default()))).expect("usable").0
}

fn found(table: &Table, path: &str) -> Option<String> {
    match table.find("GET", path).expect("a clear path") {
        Match::Operation(entry, _) => Some(entry.template.clone()),
        Match::Method(_) | Match::Path => None,
    }
}

#[test]
fn concrete_goes_before_templated_and_a_known_path_names_its_methods() {
    let table = table(&["/a/{x}", "/a/b", "/a/{x}/c", "/{y}/b/d"]);
    for (path, template) in
        [("/a/b", "/a/b"), ("/a/z", "/a/{x}"), ("/a/b/c", "/a/{x}/c"), ("/a/b/d", "/{y}/b/d")]
    {
        assert_eq!(found(&table, path).as_deref(), Some(template), "{path}");
    }
    for path in ["/", "/a", "/a/b/", "/b", "/a/b/c/d"] {
        assert_eq!(found(&table, path), None, "{path}");
    }
    assert_eq!(table.find("POST", "/a/b"), Ok(Match::Method(vec!["GET"])));
    let Ok(Match::Operation(_, parameters)) = table.find("GET", "/a/%7ez%20") else { panic!("no match") };
    assert_eq!(parameters, [("x".to_owned(), "~z%20".to_owned())]);
}

#[test]
fn a_path_is_written_in_one_way_or_not_taken() {
    for (path, settled) in [
        ("/a%2Db", Ok("/a-b")),
        ("/a%c3%a9", Ok("/a%C3%A9")),
        ("/a/", Ok("/a/")),
        ("/", Ok("/")),
        ("/a//b", Err(Unclear::EmptySegment)),
        ("//a", Err(Unclear::EmptySegment)),
        ("/a/../b", Err(Unclear::DotSegment)),
        ("/a/%2e%2E/b", Err(Unclear::DotSegment)),
        ("/a/.", Err(Unclear::DotSegment)),
        ("/a%2fb", Err(Unclear::HiddenSlash)),
        ("/a%5Cb", Err(Unclear::HiddenSlash)),
        ("/a\\b", Err(Unclear::HiddenSlash)),
        ("/a%", Err(Unclear::BadEncoding)),
        ("/a%2", Err(Unclear::BadEncoding)),
        ("/a%zz", Err(Unclear::BadEncoding)),
        ("/a%00", Err(Unclear::Control)),
        ("/a%ff", Err(Unclear::NotUtf8)),
        ("a", Err(Unclear::NoSlash)),
    ] {
        assert_eq!(settle(path).as_deref(), settled.as_ref().map(|s| *s), "{path}");
    }
}

#[test]
fn two_templates_of_one_shape_are_one_path_and_the_stricter_rule_holds() {
    let billed = Rule { effect: Effect::Unsafe, ..Rule::default() };
    for (first, second) in [(Rule::default(), billed.clone()), (billed.clone(), Rule::default())] {
        let both = [operation("GET", "/a/{x}", first), operation("GET", "/a/{y}", second)];
        let (table, conflicts) = Table::of(both).expect("usable");
        let Ok(Match::Operation(entry, _)) = table.find("GET", "/a/1") else { panic!("no match") };
        assert_eq!((entry.rule.effect, conflicts.len()), (Effect::Unsafe, 1));
        assert_eq!(conflicts[0].outcome, billed);
    }
    let (_, conflicts) =
        Table::of([operation("GET", "/a", billed.clone()), operation("GET", "/a", billed)]).expect("usable");
    assert!(conflicts.is_empty(), "who agree have no conflict");
}

#[test]
fn a_cost_by_a_path_parameter_is_found_under_the_name_that_the_path_has() {
    let by = |name: &str| {
        let parameter = Parameter { place: Place::Path, name: name.into() };
        Rule { units: Units { least: 1, by: [(parameter, (1, 9))].into() }, ..Rule::default() }
    };
    let both = [operation("GET", "/a/{x}/{y}", by("y")), operation("POST", "/a/{b}/{x}", by("x"))];
    let (table, _) = Table::of(both).expect("usable");
    for method in ["GET", "POST"] {
        let Ok(Match::Operation(entry, parameters)) = table.find(method, "/a/1/2") else {
            panic!("no match")
        };
        assert_eq!(entry.rule, by("y"), "{method}");
        assert_eq!(parameters, [("x".into(), "1".into()), ("y".into(), "2".into())]);
    }
}

#[test]
fn a_template_that_cannot_be_matched_is_told_with_its_place() {
    for template in ["/a//b", "/a/../b", "/a/{x}{y}", "/a/{", "/a%2fb"] {
        let unusable = Table::of([operation("GET", template, Rule::default())]).expect_err(template);
        assert!(unusable.to_string().starts_with("d:1 "), "{unusable}");
    }
}

#[test]
fn a_request_costs_the_greatest_of_what_is_said_and_misfits_are_told() {
    let by = |place, name: &str| (Parameter { place, name: name.into() }, (1, 20));
    let units = Units {
        least: 3,
        by: [by(Place::Query, "n"), by(Place::Header, "pages"), by(Place::Path, "x")].into(),
    };
    let rule = Rule { units, ..Rule::default() };
    let of = |x: &str, query: &str, pages: &[&str]| {
        let pages: Vec<String> = pages.iter().map(|p| (*p).to_owned()).collect();
        let header = |name: &str| if name == "pages" { pages.clone() } else { Vec::new() };
        cost(&rule, &[("x".into(), x.into())], query, header)
    };
    assert_eq!(of("1", "n=2", &["1"]), Ok(3));
    assert_eq!(of("7", "n=2&m=9", &["1"]), Ok(7));
    assert_eq!(of("1", "n=2", &["20"]), Ok(20));
    assert_eq!(of("1", "a&%6e=1%32", &["1"]), Ok(12), "however it is written");
    assert_eq!(of("1", "", &["1"]), Err(Misfit::Missing("n".into())));
    assert_eq!(of("1", "n=1", &[]), Err(Misfit::Missing("pages".into())));
    assert_eq!(of("1", "n=1&%6E=9", &["1"]), Err(Misfit::Twice("n".into())));
    assert_eq!(of("1", "n=1", &["1", "2"]), Err(Misfit::Twice("pages".into())));
    for bad in ["0", "21", "", "+1", "-1", "1.0", "99999999999", "%zz", "x"] {
        let (query, outside) = (format!("n={bad}"), Misfit::Outside("n".into(), 1, 20));
        assert_eq!(of("1", &query, &["1"]), Err(outside), "{bad}");
    }
}

fn rules() -> impl Strategy<Value = Rule> {
    let effect = prop_oneof![Just(Effect::Safe), Just(Effect::Keyed), Just(Effect::Unsafe)];
    let group = prop_oneof![Just(Group::All), Just(Group::Zone), Just(Group::Cell)];
    let time = || proptest::option::of(1..5u64);
    let parameter = |name: &str| Parameter { place: Place::Query, name: name.into() };
    let by = proptest::collection::btree_map(
        prop_oneof![Just(parameter("a")), Just(parameter("b"))],
        (1..4u32, 4..8u32),
        0..3,
    );
    let class = proptest::option::of(prop_oneof![Just("p".to_owned()), Just("q".to_owned())]);
    (class, effect, group, time(), time(), time(), 0..4u32, by).prop_map(
        |(class, effect, group, key_memory, aim, deadline, least, by)| Rule {
            class,
            effect,
            group,
            key_memory,
            aim,
            deadline,
            units: Units { least, by },
        },
    )
}

/// The template that a path matches, found by trying all: at the first segment in which two differ the concrete one wins.
fn naive<'t>(templates: &[&'t str], path: &str) -> Option<&'t str> {
    let open = |template: &str| template.split('/').map(|s| s.starts_with('{')).collect::<Vec<_>>();
    let fits = |template: &&&str| {
        let (theirs, ours) = (template.split('/').count(), path.split('/').count());
        let pairs = || template.split('/').zip(path.split('/'));
        theirs == ours && pairs().all(|(t, p)| t.starts_with('{') && !p.is_empty() || t == p)
    };
    templates.iter().filter(fits).min_by_key(|template| open(template)).copied()
}

proptest! {
    #[test]
    fn joining_rules_is_commutative_associative_idempotent_and_never_laxer(a in rules(), b in rules(), c in rules()) {
        let join = |x: &Rule, y: &Rule| x.clone().strictest(y.clone());
        prop_assert_eq!(join(&a, &b), join(&b, &a));
        prop_assert_eq!(join(&join(&a, &b), &c), join(&a, &join(&b, &c)));
        prop_assert_eq!(join(&a, &a), a.clone());
        prop_assert_eq!(join(&a, &Rule::default()), a.clone());
        let both = join(&a, &b);
        prop_assert!(both.is_as_strict_as(&a) && both.is_as_strict_as(&b));
    }

    #[test]
    fn who_joins_rules_never_makes_a_request_cheaper(a in rules(), b in rules(), one in 0..9u32, other in 0..9u32) {
        let query = format!("a={one}&b={other}");
        let of = |rule: &Rule| cost(rule, &[], &query, |_| Vec::new());
        if let (Ok(x), Ok(y)) = (of(&a), of(&b)) {
            prop_assert!(of(&a.strictest(b)).is_ok_and(|both| both >= x.max(y)));
        }
    }

    #[test]
    fn matching_agrees_with_trying_all(
        parts in proptest::collection::vec(proptest::collection::vec(0..4usize, 1..4), 1..8),
        path in proptest::collection::vec(0..3usize, 1..4),
    ) {
        let word = |n: &usize| ["a", "b", "c", "{x}"][*n];
        let text = |p: &Vec<usize>| p.iter().map(|n| format!("/{}", word(n))).collect::<String>();
        let mut templates: Vec<String> = parts.iter().map(text).collect();
        templates.sort();
        templates.dedup();
        // One name may stand once only in a template.
        let named: Vec<String> = templates
            .iter()
            .map(|t| (0..3).fold(t.clone(), |t, n| t.replacen("{x}", &format!("{{p{n}}}"), 1)))
            .collect();
        let named: Vec<&str> = named.iter().map(String::as_str).collect();
        let path = text(&path);
        let by_table = found(&table(&named), &path);
        prop_assert_eq!(by_table.as_deref(), naive(&named, &path));
    }

    #[test]
    fn settling_a_settled_path_changes_nothing(path in "/[a-c%.2eEfF/é~ ]{0,12}") {
        if let Ok(settled) = settle(&path) {
            prop_assert_eq!(settle(&settled), Ok(settled.clone()));
        }
    }

    #[test]
    fn any_bytes_are_read_or_refused(text in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = fennelscale_routes::openapi::read("d", &text);
    }
}
