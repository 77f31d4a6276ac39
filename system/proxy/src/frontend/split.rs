//! The choice among the services of a route with a traffic split.

use hyper::header::HeaderValue;

/// Picks a service by weight. A request id always picks the same one, so the choice does not depend on the
/// proxy.
pub(super) fn pick_service<'a>(services: &'a [(String, f64)], id: &HeaderValue) -> &'a str {
    let sum: f64 = services.iter().map(|(_, weight)| weight).sum();
    let draw = (fennelscale_messages::hash(id.as_bytes()) >> 11) as f64 / (1_u64 << 53) as f64;
    let mut remaining = draw * sum;
    for (service, weight) in services.iter().filter(|(_, weight)| *weight > 0.0) {
        remaining -= weight;
        if remaining < 0.0 {
            return service;
        }
    }
    services.last().map_or("", |(service, _)| service)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Requests for which the shares of a split are counted.
    const REQUESTS: usize = 20_000;

    fn share(services: &[(String, f64)], service: &str) -> f64 {
        let id = |number: usize| HeaderValue::from_str(&format!("{number:016x}")).expect("an id");
        let picked = (0..REQUESTS).filter(|number| pick_service(services, &id(*number)) == service);
        picked.count() as f64 / REQUESTS as f64
    }

    /// Guards against CONFIG (shares of a split): each part gets the share of its weight, also after a change of the weights.
    #[test]
    fn each_part_of_a_split_gets_the_share_of_its_weight() {
        for weights in [[90.0, 10.0, 0.0], [1.0, 1.0, 2.0], [0.0, 0.0, 5.0], [0.3, 0.6, 0.1]] {
            let names = ["one", "two", "three"];
            let services: Vec<(String, f64)> =
                names.iter().zip(weights).map(|(name, weight)| ((*name).to_owned(), weight)).collect();
            let sum: f64 = weights.iter().sum();
            for (name, weight) in &services {
                let share = share(&services, name);
                assert!((share - weight / sum).abs() < 0.02, "{name}: {share} of {weights:?}");
            }
        }
    }
}
