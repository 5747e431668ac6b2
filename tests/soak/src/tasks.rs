//! The end of a seed's tasks.

use tokio::task::JoinSet;

/// Waits for all tasks; returns what went wrong in those that panicked, which would else end
/// quietly and leave a seed that checks less than it says.
pub async fn join_all(mut tasks: JoinSet<()>) -> Vec<String> {
    let mut panicked = Vec::new();
    while let Some(joined) = tasks.join_next().await {
        if let Err(error) = joined {
            panicked.push(format!("a task of the soak ended early: {error}"));
        }
    }
    panicked
}
