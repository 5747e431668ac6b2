//! Claims, journals and outcomes: how holders keep them and how owners commit to a majority.

pub mod copies;
pub mod evidence;
pub mod journal;
pub mod ledger;
pub mod ledger_task;
pub mod record;
pub mod vote;
