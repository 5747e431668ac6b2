//! The traffic thread's side of the quarantine: it checks requests against it and reports crashes.

use std::rc::Rc;
use std::sync::Arc;

use super::super::answer::Answer;
use super::super::crash::{Crash, Stage};
use super::super::failure::Failure;
use super::super::fingerprint::Fingerprint;
use super::super::job::Job;
use super::super::policy::coincidence::JUDGEMENT_DELAY_MS;
use super::super::policy::poison_parts;
use super::super::policy::quarantine::{self, Suspect};
use super::super::view::Report;
use super::super::worker::Worker;
use super::Traffic;

/// Time within which the judgement of a crash reaches the traffic thread of this instance.
const JUDGEMENT_DELIVERY_MS: u64 = 50;
/// How long a request waits after a crash before it resumes, if the judgement may quarantine it.
pub(in super::super) const JUDGEMENT_WAIT_MS: u64 = JUDGEMENT_DELAY_MS + JUDGEMENT_DELIVERY_MS;

impl Traffic {
    /// What the quarantine knows of a request. Computes no fingerprint while the quarantine is
    /// empty.
    fn quarantine_entry(&self, job: &Job) -> Option<Suspect> {
        let view = self.shared.view.load();
        if view.quarantine.is_empty() {
            return None;
        }
        view.quarantine.get(&job.fingerprint()).cloned()
    }

    /// What the quarantine knows of the parts of a request's prompt that no run got past here lately.
    fn suspected_parts(&self, job: &Job) -> Vec<(Fingerprint, Suspect)> {
        let view = self.shared.view.load();
        if view.quarantine.is_empty() {
            return Vec::new();
        }
        let unproved = self.unproved_parts(job).into_iter();
        let suspect =
            |(fingerprint, _)| Some((fingerprint, view.quarantine.get(&fingerprint)?.clone()));
        unproved.filter_map(suspect).collect()
    }

    /// The banned parts of a request's prompt for which it is refused.
    fn banned_parts(&self, job: &Job) -> Vec<(Fingerprint, Suspect)> {
        let mut suspects = self.suspected_parts(job);
        let groups = suspects.iter().filter_map(|(_, suspect)| suspect.group);
        let complete = poison_parts::complete_groups(groups);
        suspects
            .retain(|(_, suspect)| suspect.group.is_some_and(|group| complete.contains(&group.id)));
        suspects
    }

    /// How long the request or a part of its prompt is still quarantined, if it is.
    pub fn quarantine_left_ms(&self, job: &Job) -> Option<u64> {
        let now_ms = self.now_ms();
        let left_ms = |suspect: &Suspect| {
            suspect.until_ms?.checked_sub(now_ms).filter(|left_ms| *left_ms > 0)
        };
        let of_request = self.quarantine_entry(job).as_ref().and_then(left_ms);
        let of_parts = self.banned_parts(job).iter().filter_map(|(_, part)| left_ms(part)).max();
        of_request.max(of_parts)
    }

    /// Why a quarantined request that may have been sent to an upstream is not served.
    pub fn poison_failure(&self, job: &Job) -> Failure {
        let banned = self.banned_parts(job).into_iter().find_map(|(fingerprint, suspect)| {
            let part = suspect.until_ms.and(suspect.part)?;
            Some(Failure::PoisonPart { part, fingerprint })
        });
        banned.unwrap_or_else(|| Failure::Poison { fingerprint: job.fingerprint() })
    }

    /// Completes when the request is quarantined, which may never happen.
    pub async fn wait_until_quarantined(&self, job: &Job) {
        let mut changed = self.shared.quarantined.subscribe();
        while self.quarantine_left_ms(job).is_none() {
            if changed.changed().await.is_err() {
                // `self` keeps the sender alive.
                return std::future::pending().await;
            }
        }
    }

    /// Refuses a quarantined request that was not sent to any upstream.
    pub fn refuse_quarantined(&self, job: &Job) -> Answer {
        let failure = self.poison_failure(job).if_unsent();
        let retry_after_ms = self.retry_after_ms(job, &failure);
        self.refuse(job, &failure, retry_after_ms)
    }

    /// Whether one more crash may quarantine a request, given `points` of crashes that are not
    /// judged yet.
    pub fn may_be_quarantined(&self, job: &Job, points: u32) -> bool {
        let counted = self.quarantine_entry(job).unwrap_or_default().points;
        let may_ban = |(_, part): &(Fingerprint, Suspect)| {
            poison_parts::may_ban(part.points + points, part.crashes)
        };
        quarantine::may_quarantine(counted + points)
            || self.suspected_parts(job).iter().any(may_ban)
    }

    /// Reports that an upstream closed a connection during a request, if its process turns out to
    /// have exited. One that is leaving exits as planned and is not reported.
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
        let request = job.fingerprint();
        let crash = Crash {
            fingerprint: request,
            part: None,
            request,
            upstream: worker.upstream.clone(),
            stage,
            event,
            at_ms: self.now_ms(),
        };
        self.last_crash_ms.set(Some(crash.at_ms));
        let parts = self.unproved_parts(job);
        let mut check = self.check_exit(worker);
        let traffic = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let has_exited = check.wait_for(Option::is_some).await;
            if has_exited.is_ok_and(|has_exited| *has_exited == Some(true)) {
                traffic.shared.report(Report::Crash(crash.clone()));
                for (fingerprint, name) in parts {
                    let part = Some(poison_parts::label(&name));
                    let crash = Crash { fingerprint, part, ..crash.clone() };
                    traffic.shared.report(Report::Crash(crash));
                }
            }
        });
    }

    /// The parts of a request's prompt that no run got past here lately, with their names.
    fn unproved_parts(&self, job: &Job) -> Vec<(Fingerprint, Arc<str>)> {
        let served = self.served_parts.borrow();
        let now_ms = self.now_ms();
        let parts = job.demand.shared_parts.iter();
        let parts = parts.map(|part| (Fingerprint::of_part(part), Arc::clone(part)));
        parts.filter(|(fingerprint, _)| !served.contains(*fingerprint, now_ms)).collect()
    }

    /// Notes that a run got past the point at which a part of its prompt would have crashed its
    /// upstream, and reports so of those parts that are suspected.
    pub fn note_parts_served(&self, job: &Job) {
        let now_ms = self.now_ms();
        let view = self.shared.view.load();
        let mut served = self.served_parts.borrow_mut();
        for part in &job.demand.shared_parts {
            let fingerprint = Fingerprint::of_part(part);
            served.note(fingerprint, now_ms);
            if view.quarantine.contains_key(&fingerprint) {
                self.shared.report(Report::Served(fingerprint, None));
            }
        }
    }

    /// Reports that a request was served, completely or up to an event, if crashes count against it
    /// or any crash during a request of this instance may still await judgement.
    pub fn note_served(&self, job: &Job, event: Option<u64>) {
        let awaits_judgement = |at_ms| at_ms + JUDGEMENT_WAIT_MS > self.now_ms();
        if self.quarantine_entry(job).is_some()
            || self.last_crash_ms.get().is_some_and(awaits_judgement)
        {
            self.shared.report(Report::Served(job.fingerprint(), event));
        }
    }
}
