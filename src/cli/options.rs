//! Options of the command line.

use crate::types::{Revision, WorkspaceId};
use bpaf::Bpaf;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Environment variable that holds the administration key.
const KEY_VARIABLE: &str = "COT_ADMIN_KEY";

/// How to reach a node, and the form of the output.
#[derive(Bpaf, Clone, Debug)]
pub struct Connection {
    /// Address of a node's administration API
    #[bpaf(long, env("COT_ADMIN_NODE"), argument("IP:PORT"))]
    pub node: SocketAddr,
    /// Administration key; the environment variable COT_ADMIN_KEY if not given
    #[bpaf(long, argument("KEY"), fallback_with(key_from_environment))]
    pub key: String,
    /// Print JSON
    pub json: bool,
}

/// Reads the key from the environment; unlike `env` this never shows it in a help text.
fn key_from_environment() -> Result<String, &'static str> {
    std::env::var(KEY_VARIABLE).map_err(|_| "no --key and no COT_ADMIN_KEY")
}

/// Document file and how it is laid on the document in force.
#[derive(Bpaf, Clone, Debug)]
pub struct Change {
    /// Remove the sections that the file does not have
    pub prune: bool,
    /// Overwrite sections that changed after the file's base_revision
    pub force: bool,
    /// Document, or a part of it, in JSON
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Operates a site of coriandertide through the administration API of any node
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub enum Command {
    /// Read and edit the configuration document
    #[bpaf(command)]
    Config(#[bpaf(external(config_command))] ConfigCommand),
    /// Show the state of a node and the nodes it knows
    #[bpaf(command)]
    Status {
        /// How to reach the node
        #[bpaf(external)]
        connection: Connection,
    },
    /// Show the backend servers as a node sees them
    #[bpaf(command)]
    Servers {
        /// How to reach the node
        #[bpaf(external)]
        connection: Connection,
    },
    /// Show where a request would go and why
    #[bpaf(command)]
    Explain {
        /// How to reach the node
        #[bpaf(external)]
        connection: Connection,
        /// Workspace of the caller
        #[bpaf(long, argument("NAME"))]
        workspace: WorkspaceId,
        /// Body of a chat or completion request, in JSON
        #[bpaf(positional("FILE"))]
        request: PathBuf,
    },
    /// Read a key from standard input and print its hash for key_hashes
    #[bpaf(command("hash-key"))]
    HashKey,
    /// Read logs of nodes from standard input and print the story of one request
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
        /// How to reach the node
        #[bpaf(external)]
        connection: Connection,
        /// Section, such as workspaces/survey
        #[bpaf(positional("SECTION"), optional)]
        section: Option<String>,
    },
    /// Check a file against the document without changing anything
    #[bpaf(command)]
    Validate {
        /// How to reach the node
        #[bpaf(external)]
        connection: Connection,
        /// File
        #[bpaf(external)]
        change: Change,
    },
    /// Show what a file would change
    #[bpaf(command)]
    Diff {
        /// How to reach the node
        #[bpaf(external)]
        connection: Connection,
        /// File
        #[bpaf(external)]
        change: Change,
    },
    /// Show what a file would change, make the change and wait until it is in force on all nodes
    #[bpaf(command)]
    Apply {
        /// How to reach the node
        #[bpaf(external)]
        connection: Connection,
        /// Do not ask
        yes: bool,
        /// Do not wait for the nodes
        no_wait: bool,
        /// Seconds to wait for the nodes
        #[bpaf(long, argument("SECONDS"), fallback(60))]
        timeout_s: u64,
        /// File
        #[bpaf(external)]
        change: Change,
    },
    /// Set the document of a site whose log has lost it while no node ran
    #[bpaf(command)]
    Restore {
        /// How to reach the node
        #[bpaf(external)]
        connection: Connection,
        /// Whole document in JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show recent edits and what became of them
    #[bpaf(command)]
    History {
        /// How to reach the node
        #[bpaf(external)]
        connection: Connection,
        /// Only edits of this section
        #[bpaf(long, argument("SECTION"))]
        section: Option<String>,
    },
    /// Wait until a revision is in force on all nodes
    #[bpaf(command)]
    Wait {
        /// How to reach the node
        #[bpaf(external)]
        connection: Connection,
        /// Seconds to wait
        #[bpaf(long, argument("SECONDS"), fallback(60))]
        timeout_s: u64,
        /// Revision
        #[bpaf(positional("REVISION"))]
        revision: Revision,
    },
}

impl Command {
    /// Whether the output is JSON.
    pub fn is_json(&self) -> bool {
        match self {
            Self::Config(command) => command.connection().json,
            Self::Status { connection }
            | Self::Servers { connection }
            | Self::Explain { connection, .. } => connection.json,
            Self::HashKey | Self::Trace { .. } => false,
        }
    }
}

impl ConfigCommand {
    fn connection(&self) -> &Connection {
        match self {
            Self::Get { connection, .. }
            | Self::Validate { connection, .. }
            | Self::Diff { connection, .. }
            | Self::Apply { connection, .. }
            | Self::Restore { connection, .. }
            | Self::History { connection, .. }
            | Self::Wait { connection, .. } => connection,
        }
    }
}
