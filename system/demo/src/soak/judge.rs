//! What the configuration promises, judged from what operators, readers and clients saw. No I/O and no clock.
//!
//! A [`Subject`] is anything whose state the configuration decides and a client can see: a place that routes share, a key that tenants
//! share, an item that is read back. Its versions are in the order in which the operator sent them, each after the one before had been
//! acknowledged.

use std::collections::BTreeMap;
use std::time::Duration;

/// A change is in force so long after its acknowledgement.
pub const APPLY: Duration = Duration::from_millis(4000);
/// A proxy that has shown a version shows no older one to requests that are sent so much later.
pub const ROLLBACK: Duration = Duration::from_millis(250);
/// While the core is not settled, a change may be in force so much later.
pub const STRETCH: Duration = Duration::from_millis(10_000);
/// Whoever was faulty is in touch again after this.
pub const CONTACT: Duration = Duration::from_millis(5000);

/// What a subject is by one version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Nothing is there: 404, 401, or missing from what is read back.
    Absent,
    /// The service that runs its requests, the tenant that holds the key, or the revision of the item.
    Is(String),
}

/// One version of a subject. Times are since the begin of the run.
#[derive(Clone, Debug)]
pub struct Version {
    pub sent: Duration,
    /// None where there is no clear answer yet, or where the version only stands between two others of one call.
    pub acknowledged: Option<Duration>,
    pub state: State,
}

/// Something whose state the configuration decides.
#[derive(Clone, Debug)]
pub struct Subject {
    pub name: String,
    pub versions: Vec<Version>,
}

/// What one request showed of a subject.
#[derive(Clone, Debug)]
pub struct Observation {
    pub subject: usize,
    /// Who answered.
    pub by: String,
    /// The life of the process that answered; none where only the newest acknowledged version counts.
    pub life: Option<u32>,
    pub sent: Duration,
    pub answered: Duration,
    pub state: State,
    /// Whoever answered had been in touch when the request was sent.
    pub in_touch: bool,
    /// How much later than usual a change may be in force, as the core was not settled.
    pub stretch: Duration,
}

/// How an observation breaks the rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A change that was acknowledged was not in force in time.
    Late,
    /// A process went back to an older version.
    Back,
}

impl Subject {
    /// The newest version that has to be in force for a request that was sent then; `bound` after an acknowledgement it is.
    fn due(&self, sent: Duration, bound: Duration) -> usize {
        let due = |version: &Version| version.acknowledged.is_some_and(|at| at + bound < sent);
        self.versions.iter().rposition(due).unwrap_or(0)
    }

    /// The versions that an observation may be of, by what it shows and when.
    fn matching(&self, observation: &Observation) -> impl DoubleEndedIterator<Item = usize> {
        let shows =
            |version: &Version| version.sent <= observation.answered && version.state == observation.state;
        self.versions.iter().enumerate().filter(move |(_, version)| shows(version)).map(|(at, _)| at)
    }
}

/// The observations that break the rule.
pub fn violations<'a>(
    subjects: &[Subject], observations: &'a [Observation],
) -> Vec<(Violation, &'a Observation)> {
    let mut found: Vec<(Violation, &Observation)> = Vec::new();
    for observation in observations.iter().filter(|observation| observation.in_touch) {
        let subject = &subjects[observation.subject];
        if subject
            .matching(observation)
            .next_back()
            .is_none_or(|newest| newest < subject.due(observation.sent, APPLY + observation.stretch))
        {
            found.push((Violation::Late, observation));
        }
    }
    let mut lives: BTreeMap<(&str, u32, usize), Vec<&Observation>> = BTreeMap::new();
    for observation in observations {
        if let Some(life) = observation.life {
            lives.entry((&observation.by, life, observation.subject)).or_default().push(observation);
        }
    }
    for ((_, _, subject), shown) in lives {
        found.extend(
            gone_back(&subjects[subject], shown)
                .into_iter()
                .map(|observation| (Violation::Back, observation)),
        );
    }
    found.sort_by_key(|(violation, observation)| (observation.sent, *violation));
    found
}

/// The longest time after which whoever was in touch still showed what an acknowledged change had ended.
pub fn longest_lag(subjects: &[Subject], observations: &[Observation]) -> Duration {
    let lag = |observation: &Observation| {
        let subject = &subjects[observation.subject];
        let shown = subject.matching(observation).next_back()?;
        let ended = subject.versions[shown + 1..].iter().filter_map(|version| version.acknowledged).min()?;
        observation.sent.checked_sub(ended)
    };
    observations.iter().filter(|observation| observation.in_touch).filter_map(lag).max().unwrap_or_default()
}

/// Sights of one life that show an older version than one that it had shown before they were sent.
fn gone_back<'a>(subject: &Subject, mut shown: Vec<&'a Observation>) -> Vec<&'a Observation> {
    shown.sort_by_key(|observation| observation.answered);
    let mut newest = 0;
    let mut known: Vec<(Duration, usize)> = Vec::new();
    for observation in &shown {
        newest = newest.max(subject.matching(observation).next().unwrap_or(0));
        known.push((observation.answered, newest));
    }
    let before = |observation: &Observation| {
        let past = known.partition_point(|(answered, _)| *answered + ROLLBACK < observation.sent);
        past.checked_sub(1).map_or(0, |last| known[last].1)
    };
    let older = |observation: &&Observation| {
        subject.matching(observation).next_back().is_some_and(|newest| newest < before(observation))
    };
    shown.into_iter().filter(older).collect()
}

#[cfg(test)]
mod tests;
