//! Commands and options of the command line; their doc comments are the help texts.

use crate::types::{Revision, WorkspaceId};
use bpaf::Bpaf;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Environment variable with the administration key.
const KEY_VARIABLE: &str = "COT_ADMIN_KEY";

/// Node to connect to, and the output format.
#[derive(Bpaf, Clone, Debug)]
pub struct Connection {
    /// Address of a node's administration API
    #[bpaf(long, env("COT_ADMIN_NODE"), argument("IP:PORT"))]
    pub node: SocketAddr,
    /// Administration key, by default from the environment variable COT_ADMIN_KEY
    #[bpaf(long, argument("KEY"), fallback_with(key_from_environment))]
    pub key: String,
    /// Print JSON
    pub json: bool,
}

/// Reads the key from the environment. bpaf's `env` would print its value in the help text.
fn key_from_environment() -> Result<String, &'static str> {
    std::env::var(KEY_VARIABLE).map_err(|_| "no --key and no COT_ADMIN_KEY")
}

/// Document file, and how it changes the accepted document.
#[derive(Bpaf, Clone, Debug)]
pub struct Change {
    /// Remove the sections that are missing in the file
    pub prune: bool,
    /// Overwrite sections that were edited after the file's base_revision
    pub force: bool,
    /// Document or part of one, in JSON
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Operate a coriandertide site through the administration API of any node
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub enum Command {
    /// Read and edit the configuration document
    #[bpaf(command)]
    Config(#[bpaf(external(config_command))] ConfigCommand),
    /// Show the status of a node and the nodes it knows
    #[bpaf(command)]
    Status {
        /// Node to connect to
        #[bpaf(external)]
        connection: Connection,
    },
    /// Show the backend servers as a node knows them
    #[bpaf(command)]
    Servers {
        /// Node to connect to
        #[bpaf(external)]
        connection: Connection,
    },
    /// Show which server a request would be routed to and why
    #[bpaf(command)]
    Explain {
        /// Node to connect to
        #[bpaf(external)]
        connection: Connection,
        /// Workspace of the caller
        #[bpaf(long, argument("NAME"))]
        workspace: WorkspaceId,
        /// Body of a chat or text completion request, in JSON
        #[bpaf(positional("FILE"))]
        request: PathBuf,
    },
    /// Read a key from standard input and print its hash, as used in key_hashes
    #[bpaf(command("hash-key"))]
    HashKey,
    /// Read logs of nodes from standard input and print the lines about one request
    #[bpaf(command)]
    Trace {
        /// Id of the request
        #[bpaf(positional("REQUEST"))]
        request: String,
    },
}

/// Commands on the configuration document
#[derive(Bpaf, Clone, Debug)]
pub enum ConfigCommand {
    /// Print the document, or one section of it
    #[bpaf(command)]
    Get {
        /// Node to connect to
        #[bpaf(external)]
        connection: Connection,
        /// Section, such as workspaces/survey
        #[bpaf(positional("SECTION"), optional)]
        section: Option<String>,
    },
    /// Validate a file against the accepted document without changing anything
    #[bpaf(command)]
    Validate {
        /// Node to connect to
        #[bpaf(external)]
        connection: Connection,
        /// Document file
        #[bpaf(external)]
        change: Change,
    },
    /// Check a file without a node: errors, entries without effect, limits that contradict each other
    #[bpaf(command)]
    Check {
        /// Print JSON
        json: bool,
        /// Show what differs from this document, such as the output of `config get`
        #[bpaf(long, argument("FILE"))]
        against: Option<PathBuf>,
        /// Whole document in JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show what a file would change
    #[bpaf(command)]
    Diff {
        /// Node to connect to
        #[bpaf(external)]
        connection: Connection,
        /// Document file
        #[bpaf(external)]
        change: Change,
    },
    /// Show what a file would change, apply it and wait until it is in force on all nodes
    #[bpaf(command)]
    Apply {
        /// Node to connect to
        #[bpaf(external)]
        connection: Connection,
        /// Apply without asking for confirmation
        yes: bool,
        /// Do not wait until the change is in force on all nodes
        no_wait: bool,
        /// Maximum number of seconds to wait
        #[bpaf(long, argument("SECONDS"), fallback(60))]
        timeout_s: u64,
        /// Document file
        #[bpaf(external)]
        change: Change,
    },
    /// Restore a document whose records expired from the log while no node was running
    #[bpaf(command)]
    Restore {
        /// Node to connect to
        #[bpaf(external)]
        connection: Connection,
        /// Whole document in JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show recent edits and their outcomes
    #[bpaf(command)]
    History {
        /// Node to connect to
        #[bpaf(external)]
        connection: Connection,
        /// Show only edits of this section
        #[bpaf(long, argument("SECTION"))]
        section: Option<String>,
    },
    /// Wait until a revision is in force on all nodes
    #[bpaf(command)]
    Wait {
        /// Node to connect to
        #[bpaf(external)]
        connection: Connection,
        /// Maximum number of seconds to wait
        #[bpaf(long, argument("SECONDS"), fallback(60))]
        timeout_s: u64,
        /// Revision to wait for
        #[bpaf(positional("REVISION"))]
        revision: Revision,
    },
}

impl Command {
    /// Returns whether the output is JSON.
    pub fn is_json(&self) -> bool {
        match self {
            Self::Config(ConfigCommand::Check { json, .. }) => *json,
            Self::Config(command) => command.connection().is_some_and(|connection| connection.json),
            Self::Status { connection }
            | Self::Servers { connection }
            | Self::Explain { connection, .. } => connection.json,
            Self::HashKey | Self::Trace { .. } => false,
        }
    }
}

impl ConfigCommand {
    fn connection(&self) -> Option<&Connection> {
        match self {
            Self::Check { .. } => None,
            Self::Get { connection, .. }
            | Self::Validate { connection, .. }
            | Self::Diff { connection, .. }
            | Self::Apply { connection, .. }
            | Self::Restore { connection, .. }
            | Self::History { connection, .. }
            | Self::Wait { connection, .. } => Some(connection),
        }
    }
}
