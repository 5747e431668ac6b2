//! The search for the version of a stream that another instance began.
//!
//! A record shows it. Without one, it is the only version that its service had in the last minute, if that
//! is known from a list of upstreams that is newer than the question: an instance that stood still or was cut
//! off knows the only version of a time before.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::super::super::fleet::SoftwareVersion;
use super::records::StreamKey;

/// How long the version of a stream is searched for: a few round trips and a call to the directory, also on
/// a busy machine.
pub const MAX_LOOKUP_MS: u64 = 800;
/// The interval between two rounds of questions.
pub const LOOKUP_INTERVAL_MS: u64 = 100;
/// Number of instances that are asked: those that hold the record, and as many that would be next; they
/// held it before others came or went.
pub const MAX_ASKED: usize = 2 * super::records::REPLICAS;

/// Asks an instance for the version of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamQuery {
    /// Number of the query at its sender; the answer repeats it.
    pub number: u64,
    /// The stream, if its caller names it.
    pub stream: Option<StreamKey>,
    pub service: Arc<str>,
}

/// How new the list of upstreams is at an instance that is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListAge {
    /// It holds the directory's answer to a call that began after the question had come.
    NewerThanQuestion,
    /// The directory is being asked; another answer follows.
    Asked,
    /// The instance doesn't read the directory, or the directory doesn't answer it.
    Unknown,
}

/// What an instance knows of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamAnswer {
    /// Number of the query.
    pub number: u64,
    /// The version that began the stream, if it is known.
    pub version: Option<SoftwareVersion>,
    /// The versions of its service that the instance saw in the last minute.
    pub service_versions: BTreeSet<SoftwareVersion>,
    /// Whether these are all that there were in the last minute, up to the age of its list.
    pub knows_all: bool,
    pub list_age: ListAge,
}

/// What shows the version of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Proof {
    /// The asking instance has its record.
    #[display("own record")]
    OwnRecord,
    /// Another instance has its record.
    #[display("record")]
    Record,
    /// The directory named one version alone, in a call that began after the question.
    #[display("directory")]
    Directory,
    /// The directory answers nobody, and most instances, with all that read it last, know one version alone.
    #[display("most instances")]
    MostInstances,
    /// The directory doesn't answer the only instance, which knows one version alone.
    #[display("only instance")]
    OnlyInstance,
}

/// The version of a stream, and how it is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Found {
    pub version: SoftwareVersion,
    pub proof: Proof,
    /// The other instance that showed it, if one did.
    pub from: Option<Arc<str>>,
}

/// The other instances, as the asking one knows them when its search ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Others {
    /// Number of those that live.
    pub alive: usize,
    /// Number of those that were lost in the last minute without a plan.
    pub lost: usize,
    /// Number of those that were asked.
    pub asked: usize,
    /// Number of those, lost ones too, that read the directory when last heard of, and have not answered.
    pub unheard_readers: usize,
}

/// The answers to a search so far.
#[derive(Debug, Default)]
pub struct Lookup {
    service_versions: BTreeSet<SoftwareVersion>,
    /// What this instance itself knows.
    own: Option<(bool, ListAge)>,
    /// Whether others know all versions, and the ages of their lists.
    answers: BTreeMap<Arc<str>, (bool, ListAge)>,
}

impl Lookup {
    /// Takes in what this instance knows. Returns the version if that shows it.
    pub fn note_own(&mut self, own: StreamAnswer) -> Option<Found> {
        self.own = Some((own.knows_all, own.list_age));
        self.service_versions.extend(own.service_versions);
        let shown = |proof| move |version| Found { version, proof, from: None };
        let by_record = own.version.map(shown(Proof::OwnRecord));
        by_record.or_else(|| self.version_by_directory().map(shown(Proof::Directory)))
    }

    /// Takes in what another instance knows. Returns the stream's version once it is certain: by a
    /// record, or since its service had one version alone.
    pub fn note(&mut self, from: Arc<str>, answer: StreamAnswer) -> Option<Found> {
        self.service_versions.extend(answer.service_versions);
        // Datagrams overtake each other: what a list showed after the question stays shown.
        let state = (answer.knows_all, answer.list_age);
        let known = self.answers.entry(Arc::clone(&from)).or_insert(state);
        if known.1 != ListAge::NewerThanQuestion {
            *known = state;
        }
        let shown = |proof| move |version| Found { version, proof, from: Some(from) };
        match answer.version {
            Some(version) => Some(shown(Proof::Record)(version)),
            None => self.version_by_directory().map(shown(Proof::Directory)),
        }
    }

    /// The version if no answer shows it and none is awaited any longer. While the directory answers
    /// nobody no version can join, so the instances that read it last know all there are.
    pub fn conclude(&self, others: Others) -> Option<Found> {
        let version = self.only_version()?;
        let ages = self.answers.values().chain(&self.own).map(|(_, age)| *age);
        if ages.into_iter().any(|age| age != ListAge::Unknown) {
            return None;
        }
        let found = |proof| Some(Found { version: version.clone(), proof, from: None });
        if others.alive == 0 && others.lost == 0 {
            let knows_all = self.own.is_some_and(|(knows_all, _)| knows_all);
            return if knows_all { found(Proof::OnlyInstance) } else { None };
        }
        let is_shown = others.unheard_readers == 0 && self.is_larger_half(others);
        if is_shown && self.others_know_all() { found(Proof::MostInstances) } else { None }
    }

    /// Whether this instance is in touch with more than half of those that lived a minute ago, judged by
    /// the part of the asked ones that answered: the others may not be known as lost yet.
    fn is_larger_half(&self, others: Others) -> bool {
        let Others { alive, lost, asked, .. } = others;
        let (answered, asked) = (self.answers.len() + 1, asked.max(self.answers.len()) + 1);
        2 * (alive + 1) * answered > (alive + 1 + lost) * asked
    }

    fn version_by_directory(&self) -> Option<SoftwareVersion> {
        // Both in one answer: an old list that was whole and a new one that isn't may both lack a version.
        let shows =
            |(knows_all, age): &(bool, ListAge)| *knows_all && *age == ListAge::NewerThanQuestion;
        let is_shown = self.answers.values().chain(&self.own).any(shows);
        self.only_version().filter(|_| is_shown)
    }

    fn others_know_all(&self) -> bool {
        self.answers.values().any(|(knows_all, _)| *knows_all)
    }

    fn only_version(&self) -> Option<SoftwareVersion> {
        let mut versions = self.service_versions.iter();
        match (versions.next(), versions.next()) {
            (Some(only), None) if *only != SoftwareVersion::Unknown => Some(only.clone()),
            _ => None,
        }
    }

    /// Whether the service had versions that only a record tells apart.
    pub fn needs_record(&self) -> bool {
        !self.service_versions.is_empty() && self.only_version().is_none()
    }

    /// Whether an instance has answered, and no further answer of it can help.
    pub fn is_done(&self, instance: &str) -> bool {
        let age = self.answers.get(instance).map(|(_, age)| *age);
        age.is_some_and(|age| age != ListAge::Asked || self.needs_record())
    }

    /// Whether an instance has answered at all.
    pub fn has_answered(&self, instance: &str) -> bool {
        self.answers.contains_key(instance)
    }
}
