//! What traffic asks of the quarantine, and what it reports to it.

use std::rc::Rc;

use super::super::answer::Answer;
use super::super::crash::{Crash, Stage};
use super::super::failure::Failure;
use super::super::job::Job;
use super::super::policy::coincidence::JUDGEMENT_DELAY_MS;
use super::super::policy::quarantine::{self, Suspect};
use super::super::view::Report;
use super::super::worker::Worker;
use super::Traffic;

/// How much later than a crash is judged its judgement has reached traffic here.
const TOLD_MS: u64 = 50;
/// How long after a crash a request that goes on waits where that may decide on it.
pub(in super::super) const JUDGED_MS: u64 = JUDGEMENT_DELAY_MS + TOLD_MS;

impl Traffic {
    /// How the request stands; without a fingerprint where none is known of.
    fn suspect(&self, job: &Job) -> Option<Suspect> {
        let view = self.shared.view.load();
        if view.quarantine.is_empty() {
            return None;
        }
        view.quarantine.get(&job.fingerprint()).copied()
    }

    /// For how long the request is still quarantined, if it is.
    pub fn quarantine_left_ms(&self, job: &Job) -> Option<u64> {
        let until_ms = self.suspect(job)?.until_ms?;
        until_ms.checked_sub(self.now_ms()).filter(|left_ms| *left_ms > 0)
    }

    /// Waits until the request is quarantined, which may be never.
    pub async fn is_quarantined(&self, job: &Job) {
        let mut changed = self.shared.quarantined.subscribe();
        while self.quarantine_left_ms(job).is_none() {
            if changed.changed().await.is_err() {
                // The sender lives as long as this.
                return std::future::pending().await;
            }
        }
    }

    /// Refuses a request that is quarantined, of which nothing was sent anywhere.
    pub fn refuse_quarantined(&self, job: &Job) -> Answer {
        let failure = Failure::Quarantined { fingerprint: job.fingerprint() };
        let after_ms = self.comes_back_ms(job, &failure);
        self.refuse(job, &failure, after_ms)
    }

    /// Whether one more crash may quarantine a request, beside `points` of crashes that are not judged.
    pub fn may_be_quarantined(&self, job: &Job, points: u32) -> bool {
        let known = self.suspect(job).unwrap_or_default().points;
        quarantine::may_quarantine(known + points)
    }

    /// Reports that an upstream broke off under a request, if its process turns out to have ended. One
    /// that leaves ends as planned.
    pub fn note_crash(
        self: &Rc<Traffic>,
        job: &Job,
        worker: &Rc<Worker>,
        stage: Stage,
        event: u64,
    ) {
        if !self.takes_work(&worker.upstream.id) {
            return;
        }
        let crash = Crash {
            fingerprint: job.fingerprint(),
            upstream: worker.upstream.clone(),
            stage,
            event,
            at_ms: self.now_ms(),
        };
        self.crashed_ms.set(Some(crash.at_ms));
        let mut check = self.check_ending(worker);
        let traffic = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let has_ended = check.wait_for(Option::is_some).await;
            if has_ended.is_ok_and(|has_ended| *has_ended == Some(true)) {
                traffic.shared.report(Report::Crash(crash));
            }
        });
    }

    /// Reports that a request was served, up to an event or completely, if anything is held against it.
    pub fn note_served(&self, job: &Job, event: Option<u64>) {
        let has_unjudged = |at_ms| at_ms + JUDGED_MS > self.now_ms();
        if self.suspect(job).is_some() || self.crashed_ms.get().is_some_and(has_unjudged) {
            self.shared.report(Report::Served(job.fingerprint(), event));
        }
    }
}
