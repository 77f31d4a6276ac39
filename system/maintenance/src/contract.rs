//! Maintenance contracts: the hours in which nodes may be drained, in a named time zone, with exceptions by
//! date.
//!
//! A range of hours belongs to the day on which it begins and may run past midnight. At a daylight saving
//! change, a local time that does not exist or exists twice is resolved so that the window is the shorter
//! one: the latest possible beginning and the earliest possible end.

use crate::Millis;
use jiff::civil::{Date, Time, Weekday};
use jiff::tz::TimeZone;
use jiff::{Span, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// How far ahead the next window is searched for, in days.
const MAX_DAYS_AHEAD: i64 = 400;

/// A range of times of day. It runs past midnight if its end is not after its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeRange {
    /// The beginning.
    pub from: Time,
    /// The end, exclusive.
    pub to: Time,
}

/// Weekly recurring hours.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The days on which the hours begin.
    pub days: Vec<Weekday>,
    /// The times of day.
    pub between: TimeRange,
}

/// A maintenance contract.
#[derive(Clone, Debug, PartialEq)]
pub struct Contract {
    /// Its name.
    pub name: String,
    /// Its time zone.
    pub time_zone: TimeZone,
    /// The regular hours.
    pub rules: Vec<Rule>,
    /// Hours that replace the regular ones on these dates.
    pub exceptions: BTreeMap<Date, Vec<TimeRange>>,
    /// The zones and regions that it covers.
    pub places: BTreeSet<String>,
    /// Who has approved it; with `None`, nothing may be drained under it.
    pub approved_by: Option<String>,
}

/// A maintenance window, in ms since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// The beginning.
    pub from: Millis,
    /// The end, exclusive.
    pub to: Millis,
}

/// Parses a time of day like `23:30` or `23:30:15`.
///
/// # Errors
/// Fails if the text is not such a time.
pub fn parse_time(text: &str) -> Result<Time, String> {
    let has_valid_length = text.len() == 8 || text.len() == 5;
    text.parse()
        .ok()
        .filter(|_| has_valid_length)
        .ok_or_else(|| format!("{text}: a time like 23:30 is wanted"))
}

/// Parses a date like `2026-12-24`.
///
/// # Errors
/// Fails if the text is not such a date.
pub fn parse_date(text: &str) -> Result<Date, String> {
    text.parse()
        .ok()
        .filter(|_| text.len() == 10)
        .ok_or_else(|| format!("{text}: a date like 2026-12-24 is wanted"))
}

/// Parses a weekday like `mon`.
///
/// # Errors
/// Fails if the text is not a weekday.
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

/// Looks up a time zone by its IANA name.
///
/// # Errors
/// Fails if there is no such time zone.
pub fn parse_zone(name: &str) -> Result<TimeZone, String> {
    TimeZone::get(name).map_err(|_| format!("{name}: a zone of time like Europe/Ljubljana is wanted"))
}

impl Contract {
    /// The windows that begin on a date.
    fn windows_on(&self, date: Date) -> Vec<Window> {
        let ranges: Vec<TimeRange> = match self.exceptions.get(&date) {
            Some(ranges) => ranges.clone(),
            None => {
                let rules = self.rules.iter().filter(|rule| rule.days.contains(&date.weekday()));
                rules.map(|rule| rule.between).collect()
            }
        };
        let window = |range: &TimeRange| {
            let last = if range.to <= range.from { date.tomorrow().ok()? } else { date };
            let from =
                self.time_zone.to_ambiguous_zoned_datetime(date.to_datetime(range.from)).later().ok()?;
            let to = self.time_zone.to_ambiguous_zoned_datetime(last.to_datetime(range.to)).earlier().ok()?;
            let ms = |at: Timestamp| at.as_millisecond() as f64;
            let window = Window { from: ms(from.timestamp()), to: ms(to.timestamp()) };
            (window.from < window.to).then_some(window)
        };
        ranges.iter().filter_map(window).collect()
    }

    /// All windows that begin from day `from` to day `to`, counted from the date at `at`.
    fn windows(&self, at: Millis, from: i64, to: i64) -> Vec<Window> {
        let Ok(timestamp) = Timestamp::from_millisecond(at as i64) else { return Vec::new() };
        let today = timestamp.to_zoned_datetime(self.time_zone.clone()).date();
        let dates = (from..=to).filter_map(|days| today.checked_add(Span::new().days(days)).ok());
        let mut windows: Vec<Window> = dates.flat_map(|date| self.windows_on(date)).collect();
        windows.sort_by(|a, b| a.from.total_cmp(&b.from));
        // Adjacent windows are merged.
        let mut merged: Vec<Window> = Vec::new();
        for window in windows {
            match merged.last_mut().filter(|last| window.from <= last.to) {
                Some(last) => last.to = last.to.max(window.to),
                None => merged.push(window),
            }
        }
        merged
    }

    /// The window that contains a moment.
    pub fn window_at(&self, at: Millis) -> Option<Window> {
        self.windows(at, -2, 2).into_iter().find(|window| window.from <= at && at < window.to)
    }

    /// The next window that begins after a moment.
    pub fn next_window(&self, at: Millis) -> Option<Window> {
        self.windows(at, -1, MAX_DAYS_AHEAD).into_iter().find(|window| window.from > at)
    }

    /// Whether a zone is covered, by itself or through its region.
    pub fn covers(&self, zone: &str, region: &str) -> bool {
        self.places.contains(zone) || self.places.contains(region)
    }
}

/// Formats a moment for display in a time zone.
pub fn format_time(zone: &TimeZone, at: Millis) -> String {
    Timestamp::from_millisecond(at as i64).map_or_else(
        |_| "?".to_owned(),
        |timestamp| timestamp.to_zoned_datetime(zone.clone()).strftime("%a %Y-%m-%d %H:%M:%S %Z").to_string(),
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    fn contract(name: &str, from: &str, to: &str) -> Contract {
        let days = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"].map(|d| parse_day(d).unwrap()).to_vec();
        let range = TimeRange { from: parse_time(from).unwrap(), to: parse_time(to).unwrap() };
        Contract {
            name: "nights".into(),
            time_zone: parse_zone(name).unwrap(),
            rules: vec![Rule { days, between: range }],
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
    fn a_window_past_midnight_belongs_to_the_day_it_begins_on() {
        let mut contract = contract("Europe/Ljubljana", "23:00", "04:30");
        assert_eq!(hours(&contract, "2026-12-02T21:59:59Z"), None);
        assert_eq!(hours(&contract, "2026-12-02T22:00:00Z"), Some(5.5));
        assert_eq!(hours(&contract, "2026-12-03T03:29:59Z"), Some(5.5));
        assert_eq!(hours(&contract, "2026-12-03T03:30:00Z"), None);
        contract.rules[0].days = vec![parse_day("wed").unwrap()];
        assert_eq!(hours(&contract, "2026-12-03T02:00:00Z"), Some(5.5), "the window began on Wednesday");
        assert_eq!(hours(&contract, "2026-12-03T23:00:00Z"), None);
        let next = contract.next_window(at("2026-12-03T12:00:00Z")).unwrap();
        assert_eq!(next.from, at("2026-12-09T22:00:00Z"));
    }

    #[test]
    fn an_exception_replaces_the_rules_of_its_date() {
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
    fn a_daylight_saving_change_never_lengthens_a_window() {
        // The clock goes from 02:00 to 03:00 on 2026-03-29 and from 03:00 back to 02:00 on 2026-10-25.
        let whole = contract("Europe/Ljubljana", "01:00", "05:00");
        assert_eq!(hours(&whole, "2026-03-29T01:30:00Z"), Some(3.0));
        assert_eq!(hours(&whole, "2026-10-25T01:30:00Z"), Some(5.0));
        let gap = contract("Europe/Ljubljana", "02:30", "04:00");
        assert_eq!(
            hours(&gap, "2026-03-29T01:10:00Z"),
            None,
            "02:30 does not exist: the window begins at 03:30"
        );
        assert_eq!(hours(&gap, "2026-03-29T01:40:00Z"), Some(0.5));
        let twice = contract("Europe/Ljubljana", "02:30", "04:00");
        assert_eq!(hours(&twice, "2026-10-25T00:40:00Z"), None, "the window begins at the second 02:30");
        assert_eq!(hours(&twice, "2026-10-25T01:40:00Z"), Some(1.5));
        let ends = contract("Europe/Ljubljana", "01:00", "02:30");
        assert_eq!(hours(&ends, "2026-10-25T00:29:00Z"), Some(1.5));
        assert_eq!(hours(&ends, "2026-10-25T00:31:00Z"), None, "the window ends at the first 02:30");
    }

    #[test]
    fn adjacent_windows_are_merged() {
        let mut contract = contract("UTC", "22:00", "00:00");
        let early = TimeRange { from: parse_time("00:00").unwrap(), to: parse_time("03:00").unwrap() };
        contract.rules.push(Rule { days: contract.rules[0].days.clone(), between: early });
        assert_eq!(hours(&contract, "2026-12-02T23:00:00Z"), Some(5.0));
    }
}
