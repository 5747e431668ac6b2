//! Which message on a channel an answer belongs to, and what a channel may carry next.
//!
//! Upstreams name the request that an answer belongs to, and may send an answer once more, late,
//! where the next one is due. So an answer is matched by its name. The gateway's own questions have
//! no name: an answer to one can be told from a late one only on a channel that has carried no other
//! nameless message. See [docs/design/answer-matching.md](../../../docs/design/answer-matching.md).

/// What is sent on a channel, as far as its answer can be matched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Message {
    /// A request with a name, which the upstream repeats in its answer.
    Named,
    /// A question of the gateway itself, or a caller's request without a name.
    Nameless,
    /// A request to another instance, which sends no answer that isn't due.
    Relayed,
}

/// What a channel has carried.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ChannelHistory {
    messages: u32,
    nameless: u32,
}

impl ChannelHistory {
    /// Whether the channel may carry a message, so that its answer can be matched. `names_requests`:
    /// the upstream is known to name the request in its answers.
    pub fn allows(self, message: Message, names_requests: bool) -> bool {
        match message {
            Message::Named => self.messages == 0 || names_requests,
            Message::Nameless => self.nameless == 0,
            Message::Relayed => true,
        }
    }

    /// Notes that a message is sent.
    pub fn note(&mut self, message: Message) {
        self.messages += 1;
        self.nameless += u32::from(message == Message::Nameless);
    }

    /// Whether an answer is that to the message sent last. `sent` names that message, and `answered`
    /// the one that the answer names.
    pub fn judge(self, sent: Option<&str>, answered: Option<&str>) -> AnswerMatch {
        match (sent, answered) {
            (Some(sent), Some(answered)) if sent == answered => AnswerMatch::Named,
            (_, Some(_)) => AnswerMatch::Foreign,
            // Nothing else was sent that it could belong to.
            (Some(_), None) if self.messages <= 1 => AnswerMatch::Only,
            (None, None) if self.nameless <= 1 => AnswerMatch::Only,
            (_, None) => AnswerMatch::Unproved,
        }
    }
}

/// What shows that an answer belongs to a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerMatch {
    /// It names the message.
    Named,
    /// It has no name, and belongs to no other message of the channel.
    Only,
    /// It has no name, and may belong to an earlier message.
    Unproved,
    /// It names another request.
    Foreign,
}

impl AnswerMatch {
    /// Whether the answer belongs to the message.
    pub fn is_own(self) -> bool {
        matches!(self, AnswerMatch::Named | AnswerMatch::Only)
    }

    /// Whether the channel is in step after the answer to a message, so that it may carry another one.
    pub fn proves_order(self, message: Message) -> bool {
        match message {
            Message::Named => self == AnswerMatch::Named,
            Message::Nameless => self == AnswerMatch::Only,
            Message::Relayed => self != AnswerMatch::Foreign,
        }
    }
}
