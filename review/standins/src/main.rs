//! Stand-ins and cases of the review. The nodes are the project's own program.

mod cases;
mod http;
mod record;
mod server;
mod site;
mod store;

use std::path::Path;

fn main() {
    let mut words = std::env::args().skip(1);
    let command = words.next().unwrap_or_default();
    if command == "server" {
        return server::run(server::Arguments::parse(words));
    }
    site::end_processes_on_panic();
    let folder = words.next().unwrap_or_default();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let is_kept = match command.as_str() {
        "rolling-restart" => cases::rolling_restart::run(Path::new(&folder), has_trouble),
        "isolated-later" => cases::isolated_later::run(Path::new(&folder), has_trouble),
        "same-id" => cases::same_id::run(Path::new(&folder), has_trouble),
        "server-killed" => cases::server_killed::run(Path::new(&folder), has_trouble),
        _ => {
            eprintln!("no case {command}");
            std::process::exit(2)
        }
    };
    std::process::exit(if is_kept { 0 } else { 1 });
}
