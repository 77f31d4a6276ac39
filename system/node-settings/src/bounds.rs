//! Bounds of the system's guarantees, as given in the settings.

use crate::read::{self, Document, SettingsError};
use std::collections::BTreeMap;
use std::time::Duration;

macro_rules! bounds {
    ($($field:ident: $kind:ident = $name:literal, $fallback:literal, $what:literal;)*) => {
        /// Bounds of the system's guarantees; one that the file does not set has the default of the rules'
        /// page.
        #[derive(Clone, Debug, PartialEq)]
        pub struct Bounds {
            $(#[doc = $what] pub $field: $kind,)*
        }

        impl Bounds {
            pub(crate) fn read(document: &Document) -> Result<Self, SettingsError> {
                let given: BTreeMap<String, String> = read::bounds(document)?.into_iter().collect();
                const NAMES: &[&str] = &[$($name),*];
                given.keys().filter(|name| !NAMES.contains(&name.as_str())).for_each(|name| document.unused(name));
                Ok(Self { $($field: {
                    let text = given.get($name).map_or($fallback, String::as_str);
                    <$kind as BoundValue>::parse(text).ok_or_else(|| SettingsError::Field {
                        field: format!("bounds.{}", $name),
                        line: document.line_of("bounds"),
                        found: text.to_owned(),
                        help: <$kind as BoundValue>::HELP.to_owned(),
                    })?
                },)* })
            }
        }
    };
}

trait BoundValue: Sized {
    const HELP: &'static str;
    fn parse(text: &str) -> Option<Self>;
}

impl BoundValue for Duration {
    const HELP: &'static str = read::DURATION_HELP;
    fn parse(text: &str) -> Option<Self> {
        read::duration(text)
    }
}

impl BoundValue for f64 {
    const HELP: &'static str = "write a number of 0 or more";
    fn parse(text: &str) -> Option<Self> {
        text.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0)
    }
}

bounds! {
    contact_window: Duration = "contactWindow", "5000ms", "Bounded guarantees apply to hosts that have been connected for this long.";
    drain: Duration = "drain", "4000ms", "A backend gets no request this long after it was seen draining.";
    grace: Duration = "gracePeriod", "6s", "Time between SIGTERM and SIGKILL.";
    config_apply: Duration = "configApply", "4000ms", "A change is in effect this long after its acknowledgement.";
    retry_ratio: f64 = "retryBudgetRatio", "0.2", "Retries per request.";
    retry_slack: f64 = "retryBudgetSlack", "60", "Retries allowed beyond the ratio.";
    budget_window: Duration = "budgetWindow", "10s", "The window over which retries are counted.";
    cold_overage: f64 = "coldOverage", "1.5", "Factor by which the rate limit of a cold backend may be exceeded.";
    cold_slack: f64 = "coldSlack", "5", "Requests allowed beyond that factor.";
    evacuation: Duration = "evacuation", "5000ms", "A zone gets no request this long after its evacuation was acknowledged.";
    max_ttl: Duration = "ttl_max", "5s", "The maximum time to live of a directory answer.";
    catch_up: Duration = "catchUp", "4s", "A returning host counts as lost for this long.";
}
