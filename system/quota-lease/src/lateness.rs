//! Detects requests that come too late for their full value, by how long their clients still wait.
//!
//! A client's first attempt states its whole timeout, each retry what is left of it. No field tells which
//! attempt it is, so the highest timeout stated recently on the same route is taken for that of first
//! attempts.

use crate::Millis;
use std::collections::HashMap;

/// The highest timeout expires when none near it was stated for this long: timeouts and clients change.
const MAXIMUM_LIFETIME: Millis = 10_000.0;
/// Timeouts above this share of the highest count as equal to it.
const NEAR_MAXIMUM: f64 = 0.95;
/// A request is late when more than this share of the target latency has passed: the rest is for the
/// network and the processing.
const LATE_AFTER_SHARE: f64 = 0.6;
/// The most routes that are remembered; requests of others count as in time.
const MAX_ROUTES: usize = 4096;

/// The timeouts that clients stated, by route.
#[derive(Clone, Debug, Default)]
pub struct LatenessDetector {
    routes: HashMap<String, (Millis, Millis)>,
}

impl LatenessDetector {
    /// Whether a request is too late for its route's target latency; its client waits for `client_timeout`
    /// more.
    pub fn is_late(
        &mut self, now: Millis, route: &str, client_timeout: Millis, target_latency: Millis,
    ) -> bool {
        let Some((max_timeout, seen)) = self.routes.get_mut(route) else {
            if self.routes.len() >= MAX_ROUTES {
                self.routes.retain(|_, (_, seen)| now - *seen < MAXIMUM_LIFETIME);
            }
            if self.routes.len() < MAX_ROUTES {
                self.routes.insert(route.to_owned(), (client_timeout, now));
            }
            return false;
        };
        if client_timeout >= *max_timeout * NEAR_MAXIMUM || now - *seen >= MAXIMUM_LIFETIME {
            let new_max_timeout = if now - *seen >= MAXIMUM_LIFETIME {
                client_timeout
            } else {
                max_timeout.max(client_timeout)
            };
            (*max_timeout, *seen) = (new_max_timeout, now);
            return false;
        }
        *max_timeout - client_timeout > target_latency * LATE_AFTER_SHARE
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_retry_is_late_by_the_timeouts_of_first_attempts() {
        let mut detector = LatenessDetector::default();
        assert!(!detector.is_late(0.0, "a", 3000.0, 500.0));
        assert!(!detector.is_late(1.0, "a", 2750.0, 500.0), "half of the target latency is left");
        assert!(detector.is_late(2.0, "a", 2600.0, 500.0));
        assert!(!detector.is_late(2.0, "b", 2600.0, 500.0), "routes are independent");
        // After a while a timeout that has become shorter counts as that of first attempts.
        assert!(detector.is_late(9_000.0, "a", 2000.0, 500.0));
        assert!(!detector.is_late(10_100.0, "a", 2000.0, 500.0));
        assert!(
            !detector.is_late(10_200.0, "a", 1990.0, 500.0) && detector.is_late(10_200.0, "a", 1000.0, 500.0)
        );
        // A longer timeout counts at once.
        assert!(
            !detector.is_late(10_300.0, "a", 5000.0, 500.0) && detector.is_late(10_400.0, "a", 2000.0, 500.0)
        );
    }

    #[test]
    fn the_number_of_remembered_routes_is_bounded() {
        let mut detector = LatenessDetector::default();
        (0..3 * MAX_ROUTES).for_each(|n| assert!(!detector.is_late(0.0, &n.to_string(), 10.0, 1.0)));
        assert_eq!(detector.routes.len(), MAX_ROUTES);
        assert!(!detector.is_late(MAXIMUM_LIFETIME, "new", 10.0, 1.0));
        assert_eq!(detector.routes.len(), 1);
    }
}
