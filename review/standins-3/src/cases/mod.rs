//! Cases of the review.

mod many_parts;
mod open_wall;
mod restored_store;
mod taken_stream;
mod wide_heads;

use crate::record::Record;
use std::path::Path;
use std::sync::Arc;

/// How a case ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

/// What a case works with.
pub struct Setting<'a> {
    pub has_trouble: bool,
    pub folder: &'a Path,
    pub record: Arc<Record>,
}

pub fn run(case: &str, has_trouble: bool, folder: &Path, record: &Path) -> Outcome {
    let record = Arc::new(Record::create(record));
    record.line(&format!("case {case}, trouble {has_trouble}"));
    let setting = Setting { has_trouble, folder, record: Arc::clone(&record) };
    let outcome = match case {
        "many_parts" => many_parts::run(&setting),
        "wide_heads" => wide_heads::run(&setting),
        "taken_stream" => taken_stream::run(&setting),
        "open_wall" => open_wall::run(&setting),
        "restored_store" => restored_store::run(&setting),
        _ => Outcome::NotRun,
    };
    record.result(&format!("outcome: {outcome:?}"));
    outcome
}
