//! Ready-made plans and accounts.

use crate::Millis;
use crate::world::Account;
use doorcourse::Plan;

/// A plan of `rate` units a second and `burst` at once, under a ceiling of `times` as much; 0 is no ceiling.
pub fn plan(name: &str, rate: f64, burst: f64, times: f64) -> Plan {
    Plan {
        name: name.into(),
        rate,
        burst,
        max_concurrent: 0,
        ceiling_rate: rate * times,
        ceiling_burst: burst * times,
        ceiling_slack: 0.0,
        value_factor: 1.0,
        over_quota_value_share: 0.0,
        over_quota_cost_share: 1.0,
    }
}

/// An account that offers `rate` a second from `begin` on, evenly by all gateways.
pub fn even(plan: usize, begin: Millis, rate: f64) -> Account {
    Account { plan, demand: vec![(begin, rate)], weights: Vec::new(), moves: 0.0 }
}

/// The same with most of it by few gateways, each having half as much as the one before; the order moves on by
/// one gateway each `moves` ms, 0 is never.
pub fn uneven(plan: usize, begin: Millis, rate: f64, gateways: usize, moves: Millis) -> Account {
    let weights = (0..gateways).map(|g| 0.5f64.powi(g.min(30) as i32)).collect();
    Account { plan, demand: vec![(begin, rate)], weights, moves }
}
