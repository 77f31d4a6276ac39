//! Slopes of the control side by counts and bytes: a role whose cost grows by a power fails here, on any machine.

use fennelscale_experiments::capacity::{Line, Point, line, of_backends, of_gateways, of_items};

fn value(points: &[Point], what: &str) -> f64 {
    points.iter().find(|point| point.what == what).map(|point| point.value).expect("measured")
}

/// How much a measure grows where its size grows fourfold.
fn growth(small: &[Point], large: &[Point], what: &str) -> f64 {
    value(large, what) / value(small, what)
}

#[test]
fn what_a_configuration_costs_grows_with_its_items_and_not_by_a_power() {
    let (small, large) = (of_items(2_000), of_items(8_000));
    for what in [
        "store: bytes of all records",
        "store: bytes of a whole copy on the wire",
        "store: chunks of a whole copy",
        "gateway: bytes of all items on the wire",
    ] {
        let growth = growth(&small, &large, what);
        assert!((3.0..=4.5).contains(&growth), "{what}: {growth}");
    }
    // 182 bytes an item on disk and on the wire, as measured; a fifth more is a change to look at.
    assert!(value(&large, "gateway: bytes of all items on the wire") < 8_000.0 * 220.0);
}

#[test]
fn lists_of_backends_and_members_grow_in_step() {
    let growth = [
        growth(&of_backends(500), &of_backends(2_000), "gateway, registry: bytes of a list of backends"),
        growth(&of_gateways(75), &of_gateways(300), "gateway, registry: bytes of all members"),
    ];
    assert!(growth.iter().all(|growth| (3.5..=4.5).contains(growth)), "{growth:?}");
}

#[test]
fn a_line_through_points_is_found_with_how_far_they_are_off() {
    let points = [1.0, 10.0, 100.0].map(|size| (size, 7.0 + 3.0 * size));
    let Line { from, slope, off } = line(&points);
    assert!((from - 7.0).abs() < 1e-6 && (slope - 3.0).abs() < 1e-6 && off < 1e-6);
    let square = [1.0, 10.0, 100.0].map(|size: f64| (size, size * size));
    assert!(line(&square).off > 0.5, "what is not straight is seen");
}
