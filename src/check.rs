//! Whether settings can be used at all; no decision is made here.

use crate::interface::{Settings, SettingsError};

/// The first fault of the settings, if there is one.
pub(crate) fn check(settings: &Settings) -> Result<(), SettingsError> {
    if settings.classes.is_empty() {
        return Err(SettingsError::NoClasses);
    }
    if settings.gateway_index >= settings.gateways {
        return Err(SettingsError::IndexOutOfRange);
    }
    let figure = |value: f64, what| {
        if value.is_finite() && value >= 0.0 { Ok(()) } else { Err(SettingsError::InvalidValue(what)) }
    };
    for class in &settings.classes {
        figure(class.target_latency, "a class's aim")?;
        figure(class.dedup_window, "a class's memory")?;
        figure(class.value, "a class's worth")?;
        figure(class.late_value_share, "a class's late worth")?;
    }
    for plan in &settings.plans {
        figure(plan.rate, "a plan's rate")?;
        figure(plan.burst, "a plan's burst")?;
        figure(plan.ceiling_rate, "a plan's ceiling rate")?;
        figure(plan.ceiling_burst, "a plan's ceiling burst")?;
        figure(plan.ceiling_slack, "a plan's ceiling slack")?;
        figure(plan.value_factor, "a plan's price")?;
        if plan.rate > 0.0 && plan.burst <= 0.0 {
            return Err(SettingsError::InvalidValue("a plan's burst"));
        }
    }
    figure(settings.tick, "tick")?;
    figure(settings.housekeeping_interval, "sweep")?;
    figure(settings.counter_timeout, "counter time-out")?;
    figure(settings.max_request_units, "most units")?;
    figure(settings.max_retry_after, "longest advice")?;
    figure(settings.cold_capacity_share, "cold share")?;
    figure(settings.warm_up_time, "cold time")?;
    figure(settings.overload_multiple, "fall multiple")?;
    figure(settings.overload_window, "fall time")?;
    figure(settings.cross_zone_cost, "price of crossing zones")
}
