//! Validation of the settings.

use crate::interface::{Settings, SettingsError};

/// Reports the first invalid setting.
pub(crate) fn validate(settings: &Settings) -> Result<(), SettingsError> {
    if settings.classes.is_empty() {
        return Err(SettingsError::NoClasses);
    }
    if settings.gateway_index >= settings.gateways {
        return Err(SettingsError::IndexOutOfRange);
    }
    let non_negative = |value: f64, what| {
        if value.is_finite() && value >= 0.0 { Ok(()) } else { Err(SettingsError::InvalidValue(what)) }
    };
    for class in &settings.classes {
        non_negative(class.target_latency, "a class's target latency")?;
        non_negative(class.dedup_window, "a class's dedup window")?;
        non_negative(class.value, "a class's value")?;
        non_negative(class.late_value_share, "a class's late value")?;
    }
    for plan in &settings.plans {
        non_negative(plan.rate, "a plan's rate")?;
        non_negative(plan.burst, "a plan's burst")?;
        non_negative(plan.ceiling_rate, "a plan's ceiling rate")?;
        non_negative(plan.ceiling_burst, "a plan's ceiling burst")?;
        non_negative(plan.ceiling_slack, "a plan's ceiling slack")?;
        non_negative(plan.value_factor, "a plan's value factor")?;
        if plan.rate > 0.0 && plan.burst <= 0.0 {
            return Err(SettingsError::InvalidValue("a plan's burst"));
        }
    }
    non_negative(settings.tick, "tick")?;
    non_negative(settings.housekeeping_interval, "housekeeping interval")?;
    non_negative(settings.counter_timeout, "counter timeout")?;
    non_negative(settings.max_request_units, "maximum units of a request")?;
    non_negative(settings.max_retry_after, "maximum retry_after")?;
    non_negative(settings.cold_capacity_share, "cold capacity share")?;
    non_negative(settings.warm_up_time, "warm-up time")?;
    non_negative(settings.overload_multiple, "overload multiple")?;
    non_negative(settings.overload_window, "overload window")?;
    non_negative(settings.cross_zone_cost, "cross-zone cost")
}
