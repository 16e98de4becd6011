//! Stand-ins and cases of the third review; `review/N/run.sh` starts one case.

mod cases;
mod http;
mod node;
mod record;
mod server;
mod site;
mod store;

use cases::Outcome;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// Time after which a case is given up.
const MAX_TIME: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder), Some(record)) = (words.next(), words.next(), words.next())
    else {
        eprintln!("usage: review-standins-3 CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (folder, record) = (PathBuf::from(folder), PathBuf::from(record));
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        eprintln!("the case took too long");
        node::kill_all();
        std::process::exit(2);
    });
    let outcome = cases::run(&case, has_trouble, &folder, &record);
    node::kill_all();
    match outcome {
        Outcome::Held => ExitCode::SUCCESS,
        Outcome::Broken => ExitCode::from(1),
        Outcome::NotRun => ExitCode::from(2),
    }
}
