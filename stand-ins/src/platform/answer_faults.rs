//! Faults of an upstream's answers, drawn from seeds: refusals, and copies of answers.

use std::sync::Mutex;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const COPY_DELAY_MAX: Duration = Duration::from_millis(150);
const PIECE_PAUSE_MAX: Duration = Duration::from_millis(60);

/// Shares of an upstream's requests and answers that a fault strikes, 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerFaultPlan {
    /// Seed of the draws.
    pub seed: u64,
    /// The requests that are refused.
    pub refused: f64,
    /// The refusals that are sent once more.
    pub refusals_copied: f64,
    /// The other answers that are sent once more.
    pub others_copied: f64,
}

#[derive(Debug)]
struct FaultDraw {
    plan: AnswerFaultPlan,
    random: StdRng,
}

/// What goes wrong with an upstream's answers; nothing by default.
#[derive(Debug, Default)]
pub struct AnswerFaults {
    draw: Mutex<Option<FaultDraw>>,
}

impl AnswerFaults {
    /// Strikes from now on as planned; `None` ends that.
    pub fn set(&self, plan: Option<AnswerFaultPlan>) {
        let draw =
            |plan: AnswerFaultPlan| FaultDraw { plan, random: StdRng::seed_from_u64(plan.seed) };
        *self.draw.lock().expect("lock not poisoned") = plan.map(draw);
    }

    /// Whether the next request is refused.
    pub(super) fn draw_refusal(&self) -> bool {
        let mut draw = self.draw.lock().expect("lock not poisoned");
        draw.as_mut().is_some_and(|draw| draw.random.random_bool(draw.plan.refused))
    }

    /// The copy to send of an answer, if any.
    pub(super) fn draw_copy(&self, is_refusal: bool) -> Option<CopyPlan> {
        let mut draw = self.draw.lock().expect("lock not poisoned");
        let FaultDraw { plan, random } = draw.as_mut()?;
        let share = if is_refusal { plan.refusals_copied } else { plan.others_copied };
        random.random_bool(share).then(|| CopyPlan::draw(random))
    }
}

/// When and how an answer is sent once more.
#[derive(Clone, Copy, Debug)]
pub(super) struct CopyPlan {
    pub(super) moment: CopyMoment,
    /// Time after the moment.
    pub(super) delay: Duration,
    pub(super) form: CopyForm,
}

/// The moment from which the delay of a copy counts.
#[derive(Clone, Copy, Debug)]
pub(super) enum CopyMoment {
    /// The answer was sent.
    Answered,
    /// The next request on the connection arrived.
    NextReceived,
    /// The next request on the connection was answered.
    NextAnswered,
}

/// How a copy is written; `cut` is the fraction of it that comes first.
#[derive(Clone, Copy, Debug)]
pub(super) enum CopyForm {
    Whole,
    /// In two pieces, without another answer between them.
    Pieces {
        cut: f64,
        pause: Duration,
    },
    /// Its head and a part of its body, and the rest after a pause in which other answers are sent.
    Interleaved {
        cut: f64,
        pause: Duration,
    },
    /// The connection ends midway.
    BrokenOff {
        cut: f64,
    },
}

impl CopyPlan {
    fn draw(random: &mut StdRng) -> Self {
        let moments = [CopyMoment::Answered, CopyMoment::NextReceived, CopyMoment::NextAnswered];
        let moment = moments[random.random_range(0..moments.len())];
        let delay_max = match moment {
            CopyMoment::Answered => COPY_DELAY_MAX,
            // The exchange is still under way.
            CopyMoment::NextReceived => COPY_DELAY_MAX / 10,
            CopyMoment::NextAnswered => COPY_DELAY_MAX,
        };
        let delay = delay_max.mul_f64(random.random());
        let cut = random.random();
        let pause = PIECE_PAUSE_MAX.mul_f64(random.random());
        let form = match random.random_range(0..8) {
            0 => CopyForm::Pieces { cut, pause },
            1 => CopyForm::Interleaved { cut, pause },
            2 => CopyForm::BrokenOff { cut },
            _ => CopyForm::Whole,
        };
        CopyPlan { moment, delay, form }
    }
}
