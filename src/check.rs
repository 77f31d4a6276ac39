//! Whether settings can be used at all; no decision is made here.

use crate::interface::{Settings, SettingsError};

/// The first fault of the settings, if there is one.
pub(crate) fn check(settings: &Settings) -> Result<(), SettingsError> {
    if settings.classes.is_empty() {
        return Err(SettingsError::NoClasses);
    }
    if settings.number >= settings.gateways {
        return Err(SettingsError::NumberTooHigh);
    }
    let figure = |value: f64, what| {
        if value.is_finite() && value >= 0.0 { Ok(()) } else { Err(SettingsError::BadFigure(what)) }
    };
    for class in &settings.classes {
        figure(class.aim, "a class's aim")?;
        figure(class.memory, "a class's memory")?;
        figure(class.worth, "a class's worth")?;
        figure(class.late_worth, "a class's late worth")?;
    }
    for plan in &settings.plans {
        figure(plan.rate, "a plan's rate")?;
        figure(plan.burst, "a plan's burst")?;
        figure(plan.ceiling_rate, "a plan's ceiling rate")?;
        figure(plan.ceiling_burst, "a plan's ceiling burst")?;
        figure(plan.ceiling_slack, "a plan's ceiling slack")?;
        figure(plan.price, "a plan's price")?;
        if plan.rate > 0.0 && plan.burst <= 0.0 {
            return Err(SettingsError::BadFigure("a plan's burst"));
        }
    }
    figure(settings.tick, "tick")?;
    figure(settings.sweep, "sweep")?;
    figure(settings.counter_timeout, "counter time-out")?;
    figure(settings.most_units, "most units")?;
    figure(settings.longest_advice, "longest advice")?;
    figure(settings.cold_share, "cold share")?;
    figure(settings.cold_time, "cold time")?;
    figure(settings.fall_multiple, "fall multiple")?;
    figure(settings.fall_time, "fall time")?;
    figure(settings.price_cross_zone, "price of crossing zones")
}
