use post_inspector::explore::{System, explore};
use post_inspector::scenarios::Scenario;
#[test]
fn replace() {
    let f = explore(System { scenario: Scenario::Replace, mutant: None, settled: 1 << 40 }, 2, None);
    println!("Replace {f}");
}
#[test]
fn race() {
    let f = explore(System { scenario: Scenario::Race, mutant: None, settled: 1 << 40 }, 2, None);
    println!("Race {f}");
}
