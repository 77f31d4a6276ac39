//! Contracts: the hours in which nodes may be drained, in a named zone of time, with exceptions by date.
//!
//! A span of hours belongs to the day that it begins on and may run past midnight. Where summer time begins or ends, a moment
//! that is not there or is there twice is read so that the hours are the shorter: a beginning as late, an end as early as it
//! can be.

use crate::Millis;
use jiff::civil::{Date, Time, Weekday};
use jiff::tz::TimeZone;
use jiff::{Span as Spell, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// How far ahead the next hours are looked for, in days.
const AHEAD: i64 = 400;

/// From when to when; past midnight where it does not end after it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeRange {
    /// It begins.
    pub from: Time,
    /// It ends.
    pub to: Time,
}

/// A rule: on these days, between these times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Days that it begins on.
    pub days: Vec<Weekday>,
    /// When.
    pub between: TimeRange,
}

/// A contract.
#[derive(Clone, Debug, PartialEq)]
pub struct Contract {
    /// Its name.
    pub name: String,
    /// Its zone of time.
    pub time_zone: TimeZone,
    /// The usual hours.
    pub rules: Vec<Rule>,
    /// On these dates these hours hold, and no others.
    pub exceptions: BTreeMap<Date, Vec<TimeRange>>,
    /// Zones and regions that it covers.
    pub places: BTreeSet<String>,
    /// Who has approved it; none: nothing may be drained by it.
    pub approved_by: Option<String>,
}

/// Hours that hold, as ms since 1970.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// They begin.
    pub from: Millis,
    /// They end.
    pub to: Millis,
}

/// A time of day like `23:30` or `23:30:15`.
///
/// # Errors
/// When it is none.
pub fn parse_time(text: &str) -> Result<Time, String> {
    let long = text.len() == 8 || text.len() == 5;
    text.parse().ok().filter(|_| long).ok_or_else(|| format!("{text}: a time like 23:30 is wanted"))
}

/// A date like `2026-12-24`.
///
/// # Errors
/// When it is none.
pub fn parse_date(text: &str) -> Result<Date, String> {
    text.parse()
        .ok()
        .filter(|_| text.len() == 10)
        .ok_or_else(|| format!("{text}: a date like 2026-12-24 is wanted"))
}

/// A day like `mon`.
///
/// # Errors
/// When it is none.
pub fn parse_day(text: &str) -> Result<Weekday, String> {
    Ok(match text {
        "mon" => Weekday::Monday,
        "tue" => Weekday::Tuesday,
        "wed" => Weekday::Wednesday,
        "thu" => Weekday::Thursday,
        "fri" => Weekday::Friday,
        "sat" => Weekday::Saturday,
        "sun" => Weekday::Sunday,
        _ => return Err(format!("{text}: one of mon, tue, wed, thu, fri, sat, sun is wanted")),
    })
}

/// A zone of time by its name.
///
/// # Errors
/// When there is none.
pub fn parse_zone(name: &str) -> Result<TimeZone, String> {
    TimeZone::get(name).map_err(|_| format!("{name}: a zone of time like Europe/Ljubljana is wanted"))
}

impl Contract {
    fn on(&self, date: Date) -> Vec<Window> {
        let spans: Vec<TimeRange> = match self.exceptions.get(&date) {
            Some(spans) => spans.clone(),
            None => {
                let rules = self.rules.iter().filter(|rule| rule.days.contains(&date.weekday()));
                rules.map(|rule| rule.between).collect()
            }
        };
        let window = |span: &TimeRange| {
            let last = if span.to <= span.from { date.tomorrow().ok()? } else { date };
            let from =
                self.time_zone.to_ambiguous_zoned_datetime(date.to_datetime(span.from)).later().ok()?;
            let to = self.time_zone.to_ambiguous_zoned_datetime(last.to_datetime(span.to)).earlier().ok()?;
            let ms = |at: Timestamp| at.as_millisecond() as f64;
            let window = Window { from: ms(from.timestamp()), to: ms(to.timestamp()) };
            (window.from < window.to).then_some(window)
        };
        spans.iter().filter_map(window).collect()
    }

    fn windows(&self, at: Millis, from: i64, to: i64) -> Vec<Window> {
        let Ok(stamp) = Timestamp::from_millisecond(at as i64) else { return Vec::new() };
        let today = stamp.to_zoned_datetime(self.time_zone.clone()).date();
        let dates = (from..=to).filter_map(|days| today.checked_add(Spell::new().days(days)).ok());
        let mut windows: Vec<Window> = dates.flat_map(|date| self.on(date)).collect();
        windows.sort_by(|a, b| a.from.total_cmp(&b.from));
        // Hours that touch are one.
        let mut joined: Vec<Window> = Vec::new();
        for window in windows {
            match joined.last_mut().filter(|last| window.from <= last.to) {
                Some(last) => last.to = last.to.max(window.to),
                None => joined.push(window),
            }
        }
        joined
    }

    /// The hours that hold at a moment.
    pub fn window_at(&self, at: Millis) -> Option<Window> {
        self.windows(at, -2, 2).into_iter().find(|window| window.from <= at && at < window.to)
    }

    /// When hours begin next.
    pub fn next_window(&self, at: Millis) -> Option<Window> {
        self.windows(at, -1, AHEAD).into_iter().find(|window| window.from > at)
    }

    /// Whether a zone is covered.
    pub fn covers(&self, zone: &str, region: &str) -> bool {
        self.places.contains(zone) || self.places.contains(region)
    }
}

/// A moment as people read it, in the contract's zone.
pub fn format_time(zone: &TimeZone, at: Millis) -> String {
    Timestamp::from_millisecond(at as i64).map_or_else(
        |_| "?".to_owned(),
        |stamp| stamp.to_zoned_datetime(zone.clone()).strftime("%a %Y-%m-%d %H:%M:%S %Z").to_string(),
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    fn contract(name: &str, from: &str, to: &str) -> Contract {
        let days = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"].map(|d| parse_day(d).unwrap()).to_vec();
        let between = TimeRange { from: parse_time(from).unwrap(), to: parse_time(to).unwrap() };
        Contract {
            name: "nights".into(),
            time_zone: parse_zone(name).unwrap(),
            rules: vec![Rule { days, between }],
            exceptions: BTreeMap::new(),
            places: ["ljubljana".to_owned()].into(),
            approved_by: Some("a".into()),
        }
    }

    fn at(text: &str) -> Millis {
        text.parse::<Timestamp>().unwrap().as_millisecond() as f64
    }

    fn hours(contract: &Contract, moment: &str) -> Option<f64> {
        contract.window_at(at(moment)).map(|w| (w.to - w.from) / 3_600_000.0)
    }

    #[test]
    fn hours_past_midnight_belong_to_the_day_they_begin_on() {
        let mut contract = contract("Europe/Ljubljana", "23:00", "04:30");
        assert_eq!(hours(&contract, "2026-12-02T21:59:59Z"), None);
        assert_eq!(hours(&contract, "2026-12-02T22:00:00Z"), Some(5.5));
        assert_eq!(hours(&contract, "2026-12-03T03:29:59Z"), Some(5.5));
        assert_eq!(hours(&contract, "2026-12-03T03:30:00Z"), None);
        contract.rules[0].days = vec![parse_day("wed").unwrap()];
        assert_eq!(hours(&contract, "2026-12-03T02:00:00Z"), Some(5.5), "begun on Wednesday");
        assert_eq!(hours(&contract, "2026-12-03T23:00:00Z"), None);
        let next = contract.next_window(at("2026-12-03T12:00:00Z")).unwrap();
        assert_eq!(next.from, at("2026-12-09T22:00:00Z"));
    }

    #[test]
    fn an_exception_goes_before_the_rules_of_its_day() {
        let mut contract = contract("America/Costa_Rica", "01:00", "05:00");
        contract.exceptions.insert(parse_date("2026-12-24").unwrap(), Vec::new());
        let short = TimeRange { from: parse_time("02:00").unwrap(), to: parse_time("02:30").unwrap() };
        contract.exceptions.insert(parse_date("2026-12-25").unwrap(), vec![short]);
        assert_eq!(hours(&contract, "2026-12-23T08:00:00Z"), Some(4.0));
        assert_eq!(hours(&contract, "2026-12-24T08:10:00Z"), None);
        assert_eq!(hours(&contract, "2026-12-25T07:10:00Z"), None);
        assert_eq!(hours(&contract, "2026-12-25T08:10:00Z"), Some(0.5));
    }

    #[test]
    fn where_summer_time_changes_the_hours_are_the_shorter() {
        // 2026-03-29 02:00 becomes 03:00; 2026-10-25 03:00 becomes 02:00 again.
        let whole = contract("Europe/Ljubljana", "01:00", "05:00");
        assert_eq!(hours(&whole, "2026-03-29T01:30:00Z"), Some(3.0));
        assert_eq!(hours(&whole, "2026-10-25T01:30:00Z"), Some(5.0));
        let gap = contract("Europe/Ljubljana", "02:30", "04:00");
        assert_eq!(hours(&gap, "2026-03-29T01:10:00Z"), None, "02:30 is not there: it begins at 03:30");
        assert_eq!(hours(&gap, "2026-03-29T01:40:00Z"), Some(0.5));
        let twice = contract("Europe/Ljubljana", "02:30", "04:00");
        assert_eq!(hours(&twice, "2026-10-25T00:40:00Z"), None, "the second 02:30 begins it");
        assert_eq!(hours(&twice, "2026-10-25T01:40:00Z"), Some(1.5));
        let ends = contract("Europe/Ljubljana", "01:00", "02:30");
        assert_eq!(hours(&ends, "2026-10-25T00:29:00Z"), Some(1.5));
        assert_eq!(hours(&ends, "2026-10-25T00:31:00Z"), None, "the first 02:30 ends it");
    }

    #[test]
    fn hours_that_touch_are_one() {
        let mut contract = contract("UTC", "22:00", "00:00");
        let early = TimeRange { from: parse_time("00:00").unwrap(), to: parse_time("03:00").unwrap() };
        contract.rules.push(Rule { days: contract.rules[0].days.clone(), between: early });
        assert_eq!(hours(&contract, "2026-12-02T23:00:00Z"), Some(5.0));
    }
}
