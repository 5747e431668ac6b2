//! Parts of prompts that crash the upstreams that begin to answer them, whatever else a request
//! holds. See [docs/design/poison-parts.md](../../../../docs/design/poison-parts.md).

mod evidence;
mod groups;
mod served;

pub use self::evidence::{Evidence, is_explained, label, may_ban};
pub use self::groups::{Group, complete_groups, crashes_id};
pub use self::served::ServedParts;
