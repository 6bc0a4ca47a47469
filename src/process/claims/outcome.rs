//! How this daemon's own attempts ended, with the answers that are still saved.

use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::error::{ExecutionState, ResultCode};
use crate::request::answer::BufferedAnswer;

/// Bytes of saved answers.
pub const ANSWER_BYTES_LIMIT: usize = 16 * 1024 * 1024;
/// Bytes of the largest answer that is saved; it must fit into a frame between daemons.
pub const SAVED_ANSWER_LIMIT: usize = 8 * 1024 * 1024;
/// Attempts whose end is remembered.
pub const OUTCOME_LIMIT: usize = 50_000;

/// What a claimant says of its attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// It has not ended.
    Running,
    /// It ran to this answer.
    Answered(BufferedAnswer),
    /// It did not run and never will.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// It ran, and its answer is lost.
    AnswerLost,
    /// The attempt is not known here.
    Unknown,
}

impl AttemptOutcome {
    /// How an attempt ended whose request ended with `result`.
    pub fn from_result(result: &Result<BufferedAnswer, ResultCode>) -> Self {
        match result {
            Ok(answer) if answer.size() > SAVED_ANSWER_LIMIT => AttemptOutcome::AnswerLost,
            Ok(answer) => AttemptOutcome::Answered(answer.clone()),
            Err(ResultCode::AnswerTooLarge) => AttemptOutcome::AnswerLost,
            Err(code) => match code.execution() {
                ExecutionState::NotRun => AttemptOutcome::NotRun,
                ExecutionState::AnswerLost => AttemptOutcome::AnswerLost,
                _ => AttemptOutcome::MayHaveRun,
            },
        }
    }

    fn size(&self) -> usize {
        match self {
            AttemptOutcome::Answered(answer) => answer.size(),
            _ => 0,
        }
    }
}

#[derive(Debug)]
enum OutcomeState {
    Running(watch::Sender<()>),
    Ended(AttemptOutcome),
}

#[derive(Debug, Default)]
struct Outcomes {
    attempts: HashMap<u64, OutcomeState>,
    ended: VecDeque<u64>,
    answered: VecDeque<u64>,
    answer_bytes: usize,
}

/// The outcomes of this daemon's attempts; the oldest are forgotten first.
#[derive(Debug, Default)]
pub struct OutcomeTable {
    outcomes: Mutex<Outcomes>,
}

impl OutcomeTable {
    /// Remembers an attempt that has not ended.
    pub fn start(&self, attempt: u64) {
        let running = OutcomeState::Running(watch::Sender::new(()));
        self.outcomes.lock().expect("no holder panics").attempts.insert(attempt, running);
    }

    /// Forgets an attempt that lost its claim.
    pub fn remove(&self, attempt: u64) {
        self.outcomes.lock().expect("no holder panics").attempts.remove(&attempt);
    }

    /// Remembers how an attempt ended and wakes those who wait for it.
    pub fn end(&self, attempt: u64, outcome: AttemptOutcome) {
        let mut outcomes = self.outcomes.lock().expect("no holder panics");
        let size = outcome.size();
        let answered = matches!(outcome, AttemptOutcome::Answered(_));
        let former = outcomes.attempts.insert(attempt, OutcomeState::Ended(outcome));
        if matches!(former, Some(OutcomeState::Ended(_))) {
            return;
        }
        outcomes.ended.push_back(attempt);
        if answered {
            outcomes.answered.push_back(attempt);
            outcomes.answer_bytes += size;
        }
        outcomes.trim();
    }

    /// How an attempt ended, waiting up to `wait` for its end.
    pub async fn outcome(&self, attempt: u64, wait: Duration) -> AttemptOutcome {
        let Some(mut ended) = self.subscribe(attempt) else {
            return self.current(attempt);
        };
        // The sender is dropped at the end, which is what is waited for.
        let _ = timeout(wait, ended.changed()).await;
        self.current(attempt)
    }

    fn subscribe(&self, attempt: u64) -> Option<watch::Receiver<()>> {
        match self.outcomes.lock().expect("no holder panics").attempts.get(&attempt) {
            Some(OutcomeState::Running(running)) => Some(running.subscribe()),
            _ => None,
        }
    }

    fn current(&self, attempt: u64) -> AttemptOutcome {
        match self.outcomes.lock().expect("no holder panics").attempts.get(&attempt) {
            Some(OutcomeState::Running(_)) => AttemptOutcome::Running,
            Some(OutcomeState::Ended(outcome)) => outcome.clone(),
            None => AttemptOutcome::Unknown,
        }
    }

    /// Bytes of saved answers now.
    pub fn answer_bytes(&self) -> usize {
        self.outcomes.lock().expect("no holder panics").answer_bytes
    }
}

impl Outcomes {
    fn trim(&mut self) {
        while self.answer_bytes > ANSWER_BYTES_LIMIT
            && let Some(attempt) = self.answered.pop_front()
        {
            self.drop_answer(attempt);
        }
        while self.ended.len() > OUTCOME_LIMIT
            && let Some(attempt) = self.ended.pop_front()
        {
            self.drop_answer(attempt);
            self.attempts.remove(&attempt);
        }
    }

    fn drop_answer(&mut self, attempt: u64) {
        if let Some(OutcomeState::Ended(outcome)) = self.attempts.get_mut(&attempt)
            && let AttemptOutcome::Answered(answer) = outcome
        {
            self.answer_bytes -= answer.size();
            *outcome = AttemptOutcome::AnswerLost;
        }
    }
}
