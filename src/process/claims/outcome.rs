//! Outcomes of this daemon's own attempts, with their saved answers.

use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::error::{ExecutionState, ResultCode};
use crate::request::answer::BufferedAnswer;

/// Maximum size of all saved answers together, in bytes.
pub const ANSWER_BYTES_LIMIT: usize = 16 * 1024 * 1024;
/// Maximum size of a saved answer in bytes, so that it fits into a frame between daemons.
pub const SAVED_ANSWER_LIMIT: usize = 8 * 1024 * 1024;
/// Maximum number of ended attempts in the table.
pub const OUTCOME_LIMIT: usize = 50_000;

/// The state of an attempt, as its claimant reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// It has not ended.
    Running,
    /// It ran and produced this answer.
    Answered(BufferedAnswer),
    /// It did not run and never will.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// It ran, and its answer is lost.
    AnswerLost,
    /// The daemon has no entry for the attempt.
    Unknown,
}

impl AttemptOutcome {
    /// The outcome of an attempt whose request ended with `result`.
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

/// The outcomes of this daemon's attempts; the oldest are evicted first.
#[derive(Debug, Default)]
pub struct OutcomeTable {
    outcomes: Mutex<Outcomes>,
}

impl OutcomeTable {
    /// Adds an attempt that has not ended.
    pub fn start(&self, attempt: u64) {
        let running = OutcomeState::Running(watch::Sender::new(()));
        self.outcomes.lock().expect("lock not poisoned").attempts.insert(attempt, running);
    }

    /// Removes an attempt that lost its claim.
    pub fn remove(&self, attempt: u64) {
        self.outcomes.lock().expect("lock not poisoned").attempts.remove(&attempt);
    }

    /// Stores the outcome of an attempt and wakes the tasks that wait for it.
    pub fn end(&self, attempt: u64, outcome: AttemptOutcome) {
        let mut outcomes = self.outcomes.lock().expect("lock not poisoned");
        let size = outcome.size();
        let answered = matches!(outcome, AttemptOutcome::Answered(_));
        let previous = outcomes.attempts.insert(attempt, OutcomeState::Ended(outcome));
        if matches!(previous, Some(OutcomeState::Ended(_))) {
            return;
        }
        outcomes.ended.push_back(attempt);
        if answered {
            outcomes.answered.push_back(attempt);
            outcomes.answer_bytes += size;
        }
        outcomes.evict_over_limit();
    }

    /// The outcome of an attempt, after waiting up to `wait` for its end.
    pub async fn outcome(&self, attempt: u64, wait: Duration) -> AttemptOutcome {
        let Some(mut ended) = self.subscribe(attempt) else {
            return self.current(attempt);
        };
        // The wait ends when the attempt ends, because that drops the sender.
        let _ = timeout(wait, ended.changed()).await;
        self.current(attempt)
    }

    fn subscribe(&self, attempt: u64) -> Option<watch::Receiver<()>> {
        match self.outcomes.lock().expect("lock not poisoned").attempts.get(&attempt) {
            Some(OutcomeState::Running(running)) => Some(running.subscribe()),
            _ => None,
        }
    }

    fn current(&self, attempt: u64) -> AttemptOutcome {
        match self.outcomes.lock().expect("lock not poisoned").attempts.get(&attempt) {
            Some(OutcomeState::Running(_)) => AttemptOutcome::Running,
            Some(OutcomeState::Ended(outcome)) => outcome.clone(),
            None => AttemptOutcome::Unknown,
        }
    }

    /// Current bytes of saved answers.
    pub fn answer_bytes(&self) -> usize {
        self.outcomes.lock().expect("lock not poisoned").answer_bytes
    }
}

impl Outcomes {
    fn evict_over_limit(&mut self) {
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
