//! Small clusters, each set up around one kind of failure.

use crate::cluster::{Bounds, Cluster, ScriptedCall};
use crate::mutants::Mutant;
use fennelscale_messages::store::{Change, StoreRequest};

/// A scenario.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub enum Scenario {
    /// Two operators send different contents under one version to two of three replicas.
    ConflictingChanges,
    /// Two calls that are invalid only in combination.
    InvalidTogether,
    /// A change and a read at two replicas.
    ChangeAndRead,
    /// A change; any replica may crash and restart.
    Crash,
    /// One of three disks is lost while a change is in progress.
    DiskLoss,
    /// One of three members fails for good; an empty machine replaces it during a change.
    Replacement,
    /// An evacuation order is overtaken by the next one.
    OvertakenEvacuation,
    /// Two operators at two replicas, one of which crashes between a promise and the write that follows.
    CrashAfterPromise,
    /// Three operators, many clock steps and broken connections, so that terms change often.
    TermChanges,
    /// One of three disks is lost during the changes of two operators.
    DiskLossAndConflict,
    /// A read and a broken connection.
    ReadAndDisconnect,
    /// Bootstrap with uneven clocks, broken connections and an early operator.
    Bootstrap,
    /// All of these combined with higher limits, for random walks.
    Everything,
    /// The same with a lost disk.
    EverythingWithDiskLoss,
    /// Five replicas with all calls of two operators and a reader.
    FiveMembers,
    /// One of five members fails for good; an empty machine replaces it while two operators write and another
    /// member crashes.
    ReplacementOfFive,
}

/// Scenarios explored exhaustively.
pub const EXHAUSTIVE: [Scenario; 2] = [Scenario::ConflictingChanges, Scenario::Crash];

/// Scenarios explored breadth first up to a limit.
pub const BREADTH_FIRST: [Scenario; 4] =
    [Scenario::InvalidTogether, Scenario::ChangeAndRead, Scenario::DiskLoss, Scenario::OvertakenEvacuation];

/// Scenarios explored breadth first further, with their number of states. A machine that has to catch up
/// before it becomes a member takes more steps than one that becomes a member at once, too many for an
/// exhaustive exploration. The limit exceeds the 16,715 states that the whole scenario had when machines
/// became members at once.
pub const BREADTH_FIRST_LARGE: [(Scenario, usize); 1] = [(Scenario::Replacement, 200_000)];

/// Scenarios explored by random walks.
pub const RANDOM_WALKS: [Scenario; 10] = [
    Scenario::Bootstrap,
    Scenario::CrashAfterPromise,
    Scenario::TermChanges,
    Scenario::DiskLossAndConflict,
    Scenario::ReadAndDisconnect,
    Scenario::Everything,
    Scenario::EverythingWithDiskLoss,
    Scenario::Replacement,
    Scenario::FiveMembers,
    Scenario::ReplacementOfFive,
];

fn route(name: &str, revision: u64, prefix: &str, timeout: u32) -> Change {
    let body = format!(
        r#"{{"routeType":"upload","matchCriteria":{{"pathPrefix":"/{prefix}/"}},"action":{{"service":"s","timeout":"{timeout}ms"}}}}"#
    );
    Change { name: format!("r:{name}"), revision, host: "h".into(), body: Some(body) }
}

fn at(at: usize, request: StoreRequest) -> ScriptedCall {
    ScriptedCall { at, request }
}

fn change(store: usize, changes: &[Change]) -> ScriptedCall {
    at(store, StoreRequest::Change(changes.to_vec()))
}

fn evacuate(store: usize, on: bool) -> ScriptedCall {
    at(store, StoreRequest::Evacuate("z".into(), on, None))
}

/// Calls of two operators who send different contents under one version, calls that are invalid only in
/// combination, and reads.
fn operators() -> Vec<ScriptedCall> {
    vec![
        change(0, &[route("a", 5, "a", 2), route("e", 5, "e", 2)]),
        change(1, &[route("a", 5, "a", 3)]),
        change(2, &[route("a", 7, "a", 4), route("d", 2, "e", 1)]),
        at(1, StoreRequest::Read),
        at(2, StoreRequest::Read),
        evacuate(1, true),
    ]
}

impl std::fmt::Debug for Scenario {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.name())
    }
}

impl Scenario {
    /// Name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::ConflictingChanges => "Race",
            Self::InvalidTogether => "Together",
            Self::ChangeAndRead => "Reader",
            Self::Crash => "Crash",
            Self::DiskLoss => "Wipe",
            Self::Replacement => "Replace",
            Self::OvertakenEvacuation => "Overtaken",
            Self::CrashAfterPromise => "Fence",
            Self::TermChanges => "Turns",
            Self::DiskLossAndConflict => "Amnesia",
            Self::ReadAndDisconnect => "Reading",
            Self::Bootstrap => "Founding",
            Self::Everything => "Everything",
            Self::EverythingWithDiskLoss => "Forgetting",
            Self::FiveMembers => "Five",
            Self::ReplacementOfFive => "Exchange",
        }
    }

    /// The initial state: bootstrapped, with a first configuration.
    pub fn initial_cluster(self, mutant: Option<Mutant>) -> Cluster {
        let service = Change {
            name: "s:s".into(),
            revision: 1,
            host: String::new(),
            body: Some(r#"{"healthCheckPath":"/health"}"#.into()),
        };
        let first = [change(0, &[service.clone(), route("a", 1, "a", 1)])];
        let bootstrapped = |members| Cluster::bootstrapped(members, &first, mutant);
        let none = Bounds::default();
        match self {
            Self::ConflictingChanges => bootstrapped(3).with_calls(
                &[change(0, &[route("a", 5, "a", 2)]), change(1, &[route("a", 5, "a", 3)])],
                Bounds { clock_steps: 1, ..none },
            ),
            Self::InvalidTogether => bootstrapped(3).with_calls(
                &[
                    change(1, &[route("b", 2, "b", 1)]),
                    change(2, &[route("c", 2, "b", 1), route("d", 2, "d", 1)]),
                ],
                Bounds { clock_steps: 1, ..none },
            ),
            Self::ChangeAndRead => bootstrapped(3).with_calls(
                &[change(0, &[route("a", 5, "a", 2)]), at(1, StoreRequest::Read)],
                Bounds { clock_steps: 1, ..none },
            ),
            Self::Crash => bootstrapped(3).with_calls(
                &[change(0, &[route("a", 5, "a", 2), route("b", 5, "b", 2)])],
                Bounds { clock_steps: 1, crashes: 1, disconnects: 1, ..none },
            ),
            Self::DiskLoss => bootstrapped(3).with_calls(
                &[change(0, &[route("a", 5, "a", 2)])],
                Bounds { disk_losses: 1, learner_clock_steps: 2, ..none },
            ),
            Self::Replacement => bootstrapped(3).with_replacement(1, 2400.0).with_calls(
                &[change(0, &[route("a", 5, "a", 2)])],
                Bounds { clock_steps: 2, learner_clock_steps: 1, ..none },
            ),
            Self::OvertakenEvacuation => bootstrapped(3)
                .with_calls(&[evacuate(1, true), evacuate(2, false)], Bounds { clock_steps: 1, ..none }),
            Self::CrashAfterPromise => bootstrapped(3).with_calls(
                &[change(0, &[route("a", 5, "a", 2)]), change(1, &[route("a", 5, "a", 3)])],
                Bounds { clock_steps: 2, crashes: 1, ..none },
            ),
            Self::TermChanges => bootstrapped(3).with_calls(
                &[
                    change(0, &[route("a", 5, "a", 2)]),
                    change(1, &[route("a", 7, "a", 3)]),
                    change(2, &[route("a", 7, "a", 4)]),
                ],
                Bounds { clock_steps: 5, disconnects: 2, ..none },
            ),
            Self::DiskLossAndConflict => bootstrapped(3).with_calls(
                &[
                    change(0, &[route("a", 5, "a", 2)]),
                    change(1, &[route("a", 5, "a", 3)]),
                    at(2, StoreRequest::Read),
                ],
                Bounds { clock_steps: 3, disk_losses: 1, learner_clock_steps: 3, ..none },
            ),
            Self::ReadAndDisconnect => bootstrapped(3).with_calls(
                &[change(0, &[route("a", 5, "a", 2)]), at(1, StoreRequest::Read)],
                Bounds { disconnects: 1, ..none },
            ),
            Self::Bootstrap => Cluster::new(3).with_calls(
                &[change(1, std::slice::from_ref(&service)), at(2, StoreRequest::Read)],
                Bounds { clock_steps: 4, disconnects: 2, learner_clock_steps: 9, ..none },
            ),
            Self::Everything => bootstrapped(3)
                .with_calls(&operators(), Bounds { clock_steps: 6, crashes: 3, disconnects: 3, ..none }),
            Self::EverythingWithDiskLoss => bootstrapped(4).with_calls(
                &operators(),
                Bounds { clock_steps: 6, crashes: 1, disconnects: 2, disk_losses: 1, learner_clock_steps: 6 },
            ),
            Self::FiveMembers => bootstrapped(5)
                .with_calls(&operators(), Bounds { clock_steps: 6, crashes: 3, disconnects: 3, ..none }),
            Self::ReplacementOfFive => bootstrapped(5).with_replacement(1, 2400.0).with_calls(
                &[
                    change(0, &[route("a", 5, "a", 2)]),
                    change(3, &[route("a", 5, "a", 3)]),
                    at(4, StoreRequest::Read),
                ],
                Bounds { clock_steps: 4, crashes: 1, disconnects: 1, learner_clock_steps: 3, ..none },
            ),
        }
    }
}
