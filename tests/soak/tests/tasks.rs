//! A task of the soak that panics fails its seed.

use siskinrock_soak::tasks;
use tokio::task::JoinSet;

#[tokio::test]
async fn a_task_that_panics_is_reported() {
    let mut joined = JoinSet::new();
    joined.spawn(async {});
    joined.spawn(async { panic!("a caller is at its wits' end") });
    let panicked = tasks::join_all(joined).await;
    assert_eq!(panicked.len(), 1, "{panicked:?}");
    assert!(panicked[0].contains("wits' end"), "{panicked:?}");
}
