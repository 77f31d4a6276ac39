//! Reads the log of a rehearsal and decides: which rules were kept, what the service was worth, whether the run counts.
//!
//! No I/O and no clock: the same log gives the same verdict, on any machine and at any time. The judge takes the word of
//! nodes and clients, never a gateway's: whether an attempt ran is known to its node only.

mod rules;
mod score;
mod store;

pub use score::{Figures, Score};

use crate::log::{Event, GatewayState, TryId, What};
use crate::scenario::Scenario;
use std::fmt;

/// One of the five rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// One final answer for each request taken, in time, and nothing after it.
    OneAnswer,
    /// No effect twice, and never two attempts out at once.
    NoRepeat,
    /// Nothing new to a node that drains or is gone.
    Drains,
    /// No cold node is pushed over.
    Cold,
    /// Hard ceilings hold over all gateways.
    Ceiling,
}

/// All rules, in their order.
pub const RULES: [Rule; 5] = [Rule::OneAnswer, Rule::NoRepeat, Rule::Drains, Rule::Cold, Rule::Ceiling];

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OneAnswer => "one final answer",
            Self::NoRepeat => "no effect twice",
            Self::Drains => "drains kept",
            Self::Cold => "cold nodes not pushed over",
            Self::Ceiling => "ceilings kept",
        })
    }
}

/// One break of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Break {
    /// Which rule.
    pub rule: Rule,
    /// When, in ms of the log's clock.
    pub t: f64,
    /// What happened.
    pub what: String,
    /// The try concerned, where there is one.
    pub id: Option<TryId>,
    /// The node concerned, where there is one.
    pub node: Option<usize>,
    /// The log's lines that show it, from 1.
    pub lines: Vec<usize>,
}

impl fmt::Display for Break {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s: {}: {}", self.t / 1000.0, self.rule, self.what)?;
        let lines: Vec<String> = self.lines.iter().map(ToString::to_string).collect();
        write!(f, " (log lines {})", lines.join(", "))
    }
}

/// How late the kit itself was.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Lateness {
    /// Timed deeds.
    pub deeds: u64,
    /// Those later than the scenario's bound.
    pub late: u64,
    /// The latest, in ms.
    pub latest: f64,
}

impl Lateness {
    /// The share of deeds that were late.
    pub fn share(&self) -> f64 {
        self.late as f64 / (self.deeds as f64).max(1.0)
    }
}

/// What a rehearsal's end says to whoever started it. The numbers are the exit statuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// All rules were kept.
    Kept = 0,
    /// A rule was broken.
    Broken = 1,
    /// The scenario or the log cannot be used.
    Unusable = 2,
    /// A gateway ended by itself.
    Crashed = 3,
    /// The machine was too slow for the verdict to count.
    TooSlow = 4,
}

/// What the judge found.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// All breaks, in order of time.
    pub breaks: Vec<Break>,
    /// Gateways that ended by themselves, and when.
    pub crashes: Vec<(usize, f64)>,
    /// Service.
    pub score: Score,
    /// Counts and figures.
    pub figures: Figures,
    /// How late the kit was.
    pub lateness: Lateness,
    /// Why the run does not count, where it does not.
    pub void: Option<String>,
    /// The log ends as a whole run does.
    pub whole: bool,
}

impl Verdict {
    /// What it comes to. A crash is one on any machine; breaks found on a machine that was too slow do not count, and
    /// neither does their absence.
    pub fn ending(&self) -> Ending {
        if !self.whole {
            Ending::Unusable
        } else if !self.crashes.is_empty() {
            Ending::Crashed
        } else if self.void.is_some() {
            Ending::TooSlow
        } else if self.breaks.is_empty() {
            Ending::Kept
        } else {
            Ending::Broken
        }
    }

    /// How often a rule was broken.
    pub fn broken(&self, rule: Rule) -> usize {
        self.breaks.iter().filter(|b| b.rule == rule).count()
    }
}

/// The first line of events in a log: the header stands before.
const FIRST_LINE: usize = 2;

/// Judges a run.
pub fn judge(scenario: &Scenario, events: &[Event]) -> Verdict {
    let mut rules = rules::Rules::new(scenario);
    let mut score = score::Scorer::new(scenario);
    let (mut lateness, mut crashes, mut whole) = (Lateness::default(), Vec::new(), false);
    for (n, event) in events.iter().enumerate() {
        let inside = rules.take(n + FIRST_LINE, event);
        score.take(event, inside);
        match &event.what {
            What::Lateness { deeds, late, latest } => {
                lateness.deeds += u64::from(*deeds);
                lateness.late += u64::from(*late);
                lateness.latest = lateness.latest.max(*latest);
            }
            What::Gateway { gateway, state: GatewayState::Crashed } => crashes.push((*gateway, event.t)),
            What::Over => whole = true,
            _ => {}
        }
    }
    let mut breaks = rules.finish();
    // Nothing of the order may come from a table's: the same log gives the same verdict to the letter.
    breaks.sort_by(|a, b| a.t.total_cmp(&b.t).then_with(|| a.lines.cmp(&b.lines)).then(a.rule.cmp(&b.rule)));
    let (score, figures) = score.finish();
    let void = too_late(scenario, &lateness);
    Verdict { breaks, crashes, score, figures, lateness, void, whole }
}

/// Why a run does not count, by the kit's own lateness.
fn too_late(scenario: &Scenario, lateness: &Lateness) -> Option<String> {
    let rules = &scenario.rules;
    if lateness.share() > rules.kit_late_share.0 {
        return Some(format!(
            "{:.1}% of the kit's own deeds were more than {:.0} ms late; at most {:.1}% may be",
            lateness.share() * 100.0,
            rules.kit_late.0,
            rules.kit_late_share.0 * 100.0
        ));
    }
    (lateness.latest > rules.kit_latest.0).then(|| {
        format!(
            "the kit was {:.0} ms late once; at most {:.0} ms may pass",
            lateness.latest, rules.kit_latest.0
        )
    })
}
