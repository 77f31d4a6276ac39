//! Whether a request still comes in time for its full worth, by how long its client says that it will wait.
//!
//! A client's first try tells its whole patience, each later one what is left of it. What first tries tell is known by the most that
//! was told lately on the same route: nothing else says which try it is.

use crate::Millis;
use std::collections::HashMap;

/// The most that was told is forgotten when nobody has told nearly as much for so long: time-outs and clients change.
const FORGOTTEN: Millis = 10_000.0;
/// So near to it counts as much.
const NEARLY: f64 = 0.95;
/// Of the aim so much may have passed: the rest is for the way and the work.
const LEFT: f64 = 0.6;
/// Routes that are known at most; of others every request counts as timely.
const MOST: usize = 4096;

/// What clients told of their patience, by route.
#[derive(Clone, Debug, Default)]
pub struct LatenessDetector {
    routes: HashMap<String, (Millis, Millis)>,
}

impl LatenessDetector {
    /// Whether a request of a route has come too late for its aim: its client waits for `patience` more.
    pub fn is_late(&mut self, now: Millis, route: &str, patience: Millis, aim: Millis) -> bool {
        let Some((most, seen)) = self.routes.get_mut(route) else {
            if self.routes.len() >= MOST {
                self.routes.retain(|_, (_, seen)| now - *seen < FORGOTTEN);
            }
            if self.routes.len() < MOST {
                self.routes.insert(route.to_owned(), (patience, now));
            }
            return false;
        };
        if patience >= *most * NEARLY || now - *seen >= FORGOTTEN {
            let most_now = if now - *seen >= FORGOTTEN { patience } else { most.max(patience) };
            (*most, *seen) = (most_now, now);
            return false;
        }
        *most - patience > aim * LEFT
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_try_is_late_by_what_first_tries_tell() {
        let mut timely = LatenessDetector::default();
        assert!(!timely.is_late(0.0, "a", 3000.0, 500.0));
        assert!(!timely.is_late(1.0, "a", 2750.0, 500.0), "half of the aim is left");
        assert!(timely.is_late(2.0, "a", 2600.0, 500.0));
        assert!(!timely.is_late(2.0, "b", 2600.0, 500.0), "routes are told apart");
        // Patience that has become shorter for good is first tries' after a while.
        assert!(timely.is_late(9_000.0, "a", 2000.0, 500.0));
        assert!(!timely.is_late(10_100.0, "a", 2000.0, 500.0));
        assert!(
            !timely.is_late(10_200.0, "a", 1990.0, 500.0) && timely.is_late(10_200.0, "a", 1000.0, 500.0)
        );
        // Longer patience at once.
        assert!(
            !timely.is_late(10_300.0, "a", 5000.0, 500.0) && timely.is_late(10_400.0, "a", 2000.0, 500.0)
        );
    }

    #[test]
    fn what_is_remembered_is_bounded() {
        let mut timely = LatenessDetector::default();
        (0..3 * MOST).for_each(|n| assert!(!timely.is_late(0.0, &n.to_string(), 10.0, 1.0)));
        assert_eq!(timely.routes.len(), MOST);
        assert!(!timely.is_late(FORGOTTEN, "new", 10.0, 1.0));
        assert_eq!(timely.routes.len(), 1);
    }
}
