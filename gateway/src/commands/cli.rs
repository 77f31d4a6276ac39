//! The command line. Without arguments the program is the gateway; its tools are subcommands. The doc comments
//! of commands and arguments are the text of `--help`.

use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// A quota gateway. With no argument it is the gateway itself, told by NODE_CONFIG, NODE_LISTEN and NODE_DISCOVERY.
#[derive(Debug, Parser)]
#[command(name = "fennelscale", version, arg_required_else_help = true)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What the program does beside being the gateway.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Starts a fleet on loopback, breaks it, scores its service and checks the five rules
    Rehearse(RehearseArguments),
    /// Reads OpenAPI descriptions: checks, shows and compares the routes that they make
    Routes(RoutesArguments),
    /// Tells what quotas come to while the shared counter is lost
    Quota(QuotaArguments),
    /// Shows and changes what the gateways of a fleet agree on
    Fleet(FleetArguments),
    /// Becomes the gateway and dies with the process of the given id (used by rehearsals)
    #[command(hide = true)]
    Tethered {
        /// The process to die with.
        parent: i32,
    },
}

/// The arguments of `fleet`.
#[derive(Debug, clap::Args)]
#[command(
    after_help = "Exit status: 0 done, 1 refused, 2 unusable files, arguments or no gateway there, 3 not settled yet."
)]
pub struct FleetArguments {
    /// What to do.
    #[command(subcommand)]
    pub command: FleetCommand,
}

/// Whom to ask.
#[derive(Debug, clap::Args)]
pub struct ControlTarget {
    /// The operators' settings file; the one that FENNELSCALE_SETTINGS names where it is left out
    #[arg(long, value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// The gateway's control address; fleet.control of the settings file where it is left out
    #[arg(long, value_name = "ADDRESS")]
    pub control: Option<std::net::SocketAddr>,
}

/// What `fleet` does.
#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// Writes the disk of a keeper of the first set, once, before the fleet runs for the first time
    Init {
        /// The keeper's name
        name: String,
        /// Whose settings.
        #[command(flatten)]
        target: ControlTarget,
    },
    /// Shows members, keepers, leases, versions and who lags, as the gateway on this machine sees them
    Status {
        /// As JSON
        #[arg(long)]
        json: bool,
        /// Whom to ask.
        #[command(flatten)]
        target: ControlTarget,
    },
    /// Prints what is agreed on a topic
    Topic {
        /// Its name
        topic: String,
        /// Whom to ask.
        #[command(flatten)]
        target: ControlTarget,
    },
    /// Agrees on the next content of a topic, from a file or standard input
    Publish {
        /// Its name
        topic: String,
        /// The version that it follows; 0 for a new topic
        #[arg(long, default_value_t = 0)]
        follows: u64,
        /// The content; standard input where it is left out
        #[arg(long, value_name = "FILE")]
        file: Option<PathBuf>,
        /// Whom to ask.
        #[command(flatten)]
        target: ControlTarget,
    },
    /// Puts a gateway with a new, empty disk in the place of a keeper; to be asked of the leader
    ReplaceKeeper {
        /// The keeper that goes
        old: String,
        /// The gateway that comes
        new: String,
        /// Whom to ask.
        #[command(flatten)]
        target: ControlTarget,
    },
}

/// The arguments of `quota`.
#[derive(Debug, clap::Args)]
#[command(
    after_help = "Exit status: 0 within 5% of the ceilings or one request, 1 beyond that, 2 unusable files or arguments."
)]
pub struct QuotaArguments {
    /// What to do.
    #[command(subcommand)]
    pub command: QuotaCommand,
}

/// What `quota` does.
#[derive(Debug, Subcommand)]
pub enum QuotaCommand {
    /// Prints how many units all gateways together send on at most, whatever the counter does
    Bound(BoundArguments),
}

/// What a bound follows from.
#[derive(Debug, clap::Args)]
pub struct BoundArguments {
    /// The operators' settings file; the one that FENNELSCALE_SETTINGS names where it is left out
    #[arg(long, value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// The gateway's configuration with the plans; the one that NODE_CONFIG names where it is left out
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// How many gateways serve an account, as a list such as 2,4,16; all up to the fleet's size where it is left out
    #[arg(long, value_name = "N", value_delimiter = ',')]
    pub gateways: Vec<u32>,
}

/// The arguments of `routes`.
#[derive(Debug, clap::Args)]
#[command(
    after_help = "Exit status: 0 clean, 1 conflicts (check) or a figure that loosens (diff) or no such operation \
                        (explain), 2 unusable files or arguments."
)]
pub struct RoutesArguments {
    /// What to do.
    #[command(subcommand)]
    pub command: RoutesCommand,
}

/// What routes are made of.
#[derive(Debug, clap::Args)]
pub struct Descriptions {
    /// OpenAPI descriptions, JSON or YAML
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
    /// The operator's table of classes
    #[arg(long, value_name = "FILE")]
    pub classes: Option<PathBuf>,
}

/// What `routes` does.
#[derive(Debug, Subcommand)]
pub enum RoutesCommand {
    /// Tells where descriptions, and the table of classes, say different things of one operation
    Check(Descriptions),
    /// Prints each operation and what holds for it
    Show(Descriptions),
    /// Tells which operation a request is, and who says what of it
    Explain {
        /// The method
        method: String,
        /// The path, without a query
        path: String,
        /// What describes it.
        #[command(flatten)]
        descriptions: Descriptions,
    },
    /// Compares two descriptions and marks each figure that loosens
    Diff {
        /// The description in force
        old: PathBuf,
        /// The one to come
        new: PathBuf,
    },
}

/// The arguments of `rehearse`.
#[derive(Debug, clap::Args)]
#[command(
    args_conflicts_with_subcommands = true,
    after_help = "Exit status: 0 all rules kept, 1 a rule broken, 2 unusable scenario, log or arguments, 3 a gateway \
                  ended by itself, 4 the machine was too slow for the verdict to count."
)]
pub struct RehearseArguments {
    /// A shipped scenario's name, or a scenario file
    #[arg(default_value = fennelscale_rehearsal::shipped::DEFAULT)]
    pub scenario: String,
    /// Decides all that is drawn: arrivals, whom troubles strike, how late news come
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Writes report.html, the event log and the gateways' logs into this folder
    #[arg(long, value_name = "DIR")]
    pub report: Option<PathBuf>,
    /// Writes what was found as JSON; - for standard output
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Keeps the event log and the gateways' logs also without a report, and says where
    #[arg(long)]
    pub keep_logs: bool,
    /// What else there is to do.
    #[command(subcommand)]
    pub command: Option<RehearseCommand>,
}

/// The arguments of `rehearse fleet`.
#[derive(Debug, clap::Args)]
pub struct FleetFaultArguments {
    /// Processes
    #[arg(long, default_value_t = 5)]
    pub processes: usize,
    /// How many of them keep the log: 1, 3 or 5
    #[arg(long, default_value_t = 3)]
    pub keepers: usize,
    /// For how long faults come, in seconds
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Draws the faults
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Plays this script, as `rehearse fleet` wrote it, in the place of a drawn one
    #[arg(long, value_name = "FILE")]
    pub script: Option<PathBuf>,
    /// Writes script.json, record.jsonl and the processes' logs into this folder
    #[arg(long, value_name = "DIR")]
    pub report: Option<PathBuf>,
}

/// What `rehearse` does beside playing.
#[derive(Debug, Subcommand)]
pub enum RehearseCommand {
    /// Starts several processes that agree on things, breaks the links between them and the processes, judges what was seen
    Fleet(FleetFaultArguments),
    /// Lists the shipped scenarios
    List,
    /// Prints a shipped scenario's file, to start one's own from
    Show {
        /// Its name
        name: String,
    },
    /// Judges a recorded run again
    Judge {
        /// The event log of a run, events.jsonl
        log: PathBuf,
        /// Writes report.html into this folder
        #[arg(long, value_name = "DIR")]
        report: Option<PathBuf>,
        /// Writes what was found as JSON; - for standard output
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
}
