//! Reads the settings object, of a `START` line or of a real gateway's configuration, into the library's
//! `Settings`.

use doorcourse::{Class, DedupScope, LoadReportSource, Name, Plan, RetrySafety, Settings};
use fennelscale_quota::Loss;
use serde_json::Value;

/// One object of the settings; a missing key reads as its zero, a value of the wrong type is a fault.
pub struct Object<'a>(&'a Value);

impl<'a> Object<'a> {
    /// The object under a key.
    ///
    /// # Errors
    /// When something else stands there.
    pub fn of(value: &'a Value, key: &str) -> Result<Self, String> {
        match value.get(key) {
            None => Ok(Self(&Value::Null)),
            Some(v) if v.is_object() => Ok(Self(v)),
            Some(_) => Err(format!("settings: {key} is not an object")),
        }
    }

    fn typed<T>(
        &self, key: &str, what: &str, zero: T, get: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, String> {
        match self.0.get(key) {
            None | Some(Value::Null) => Ok(zero),
            Some(v) => get(v).ok_or_else(|| format!("settings: {key} is not {what}")),
        }
    }

    /// The number under a key.
    ///
    /// # Errors
    /// When something else stands there.
    pub fn number(&self, key: &str) -> Result<f64, String> {
        self.typed(key, "a number", 0.0, Value::as_f64)
    }

    fn count(&self, key: &str) -> Result<u32, String> {
        self.typed(key, "a small whole number", 0, |v| v.as_u64().and_then(|n| u32::try_from(n).ok()))
    }

    fn flag(&self, key: &str) -> Result<bool, String> {
        self.typed(key, "true or false", false, Value::as_bool)
    }

    fn text(&self, key: &str) -> Result<&'a str, String> {
        self.typed(key, "a text", "", Value::as_str)
    }

    fn list(&self, key: &str) -> Result<&'a [Value], String> {
        self.typed(key, "a list", &[][..], |v| v.as_array().map(Vec::as_slice))
    }
}

/// The settings in a `START` line; unknown keys are skipped.
///
/// # Errors
/// When the text is no JSON, a value is of the wrong type or a word unknown.
pub fn parse(text: &str) -> Result<Settings, String> {
    read(&serde_json::from_str(text).map_err(|e| format!("settings: {e}"))?)
}

/// The settings in an object; unknown keys are skipped.
///
/// # Errors
/// When a value is of the wrong type or a word unknown.
pub fn read(root: &Value) -> Result<Settings, String> {
    if !root.is_object() {
        return Err("settings: not an object".into());
    }
    let top = Object(root);
    let extra = Object::of(root, "extra")?;
    let permissions = Object::of(root, "permissions")?;
    let rules = Object::of(root, "rules")?;
    let prices = Object::of(root, "prices")?;
    let reports = match Object::of(root, "load-info")?.text("source")? {
        "inline" => LoadReportSource::Responses,
        "on_probe" => LoadReportSource::Probes,
        "off" | "" => LoadReportSource::None,
        other => return Err(format!("settings: unknown load source {other}")),
    };
    Ok(Settings {
        housekeeping_interval: 0.0,
        gateways: top.count("fleet-size")?,
        gateway_index: top.count("my-number")?,
        zone: Name::from(top.text("locality")?),
        tick: top.number("period-ms")?,
        classes: top.list("classes")?.iter().map(class).collect::<Result<_, _>>()?,
        plans: top.list("plans")?.iter().map(plan).collect::<Result<_, _>>()?,
        counter: extra.flag("has-counter")?,
        counter_timeout: extra.number("count-limit-ms")?,
        // The operators' file says it, not the platform's.
        loss: Loss::Whole,
        actual_units_reported: extra.flag("trued-up")?,
        max_request_units: extra.number("units-top")?,
        load_reports: reports,
        probes: permissions.flag("probes")?,
        peer_messages: permissions.flag("peers")?,
        can_cancel: permissions.flag("may-cancel")?,
        list_on_request: top.text("discovery")? == "on_request",
        max_attempts: permissions.count("most-tries")?,
        max_retry_after: permissions.number("max-retry-after-ms")?,
        cold_capacity_share: rules.number("cold-from")?,
        warm_up_time: rules.number("cold-ms")?,
        overload_multiple: rules.number("overload-factor")?,
        overload_window: rules.number("fall-ms")?,
        cross_zone_cost: prices.number("cross-zone")?,
    })
}

fn class(value: &Value) -> Result<Class, String> {
    let class = Object(value);
    Ok(Class {
        name: Name::from(class.text("name")?),
        target_latency: class.number("goal-time-ms")?,
        retry_safety: match class.text("effect")? {
            "idempotent" => RetrySafety::Safe,
            "deduplicated" => RetrySafety::Keyed,
            "at_most_once" => RetrySafety::Unsafe,
            other => return Err(format!("settings: unknown effect {other}")),
        },
        dedup_scope: match class.text("dedup-scope")? {
            "all" | "" => DedupScope::All,
            "zone" => DedupScope::Zone,
            "cell" => DedupScope::Cell,
            other => return Err(format!("settings: unknown dedup-scope {other}")),
        },
        dedup_window: class.number("window-ms")?,
        value: class.number("worth")?,
        late_value_share: class.number("late-value")?,
    })
}

fn plan(value: &Value) -> Result<Plan, String> {
    let plan = Object(value);
    Ok(Plan {
        name: Name::from(plan.text("name")?),
        rate: plan.number("refill")?,
        burst: plan.number("burst")?,
        max_concurrent: plan.count("parallel")?,
        ceiling_rate: plan.number("cap-rate")?,
        ceiling_burst: plan.number("ceiling-burst")?,
        ceiling_slack: plan.number("ceiling-slack")?,
        value_factor: plan.number("worth-factor")?,
        over_quota_value_share: plan.number("over-worth")?,
        over_quota_cost_share: plan.number("overrun-cost")?,
    })
}
