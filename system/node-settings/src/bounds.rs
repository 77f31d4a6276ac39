//! The figures of the rules, as the settings give them.

use crate::read::{self, Document, SettingsError};
use std::collections::BTreeMap;
use std::time::Duration;

macro_rules! bounds {
    ($($field:ident: $kind:ident = $name:literal, $fallback:literal, $what:literal;)*) => {
        /// The figures of the rules; one that the file does not name has the value that the rules' page gives as usual.
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
    const HELP: &'static str = "write a number and its unit, like 1500ms or 2.5s";
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
    contact_window: Duration = "contactWindow", "5000ms", "Rules with a bound hold for machines in touch for this long.";
    drain: Duration = "drain", "4000ms", "A backend gets nothing this long after it was seen to drain.";
    grace: Duration = "gracePeriod", "6s", "From SIGTERM to SIGKILL.";
    config_apply: Duration = "configApply", "4000ms", "A change is in force this long after its acknowledgement.";
    retry_ratio: f64 = "retryBudgetRatio", "0.2", "Further tries for each request.";
    retry_slack: f64 = "retryBudgetSlack", "60", "Further tries beyond the ratio.";
    budget_window: Duration = "budgetWindow", "10s", "The time over which further tries are counted.";
    cold_overage: f64 = "coldOverage", "1.5", "What the rate of a cold backend may be exceeded by, as a factor.";
    cold_slack: f64 = "coldSlack", "5", "What it may be exceeded by beyond that.";
    evacuation: Duration = "evacuation", "5000ms", "A zone gets nothing this long after its evacuation was acknowledged.";
    max_ttl: Duration = "ttl_max", "5s", "The longest time that a directory answer counts.";
    catch_up: Duration = "catchUp", "4s", "A machine that returns counts as lost for so long.";
}
