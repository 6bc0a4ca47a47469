//! A backend server that reacts to each arrival as planned, and writes earlier answers again.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::kept_connections::{SIGNATURE, listen, read_head, request_id};

/// Time between the parts of an answer, and between a copy and what follows it.
const PART_GAP: Duration = Duration::from_millis(4);

/// Where the request's id stands in the head of an answer.
#[derive(Clone, Copy, Debug)]
pub(super) enum IdPlace {
    Last,
    First,
    Absent,
}

/// What the server does with a request.
#[derive(Clone, Copy, Debug)]
pub(super) enum Reaction {
    /// Runs it and answers with success.
    Answer { after_ms: u8 },
    /// The same, in two parts.
    AnswerInParts { cut: u8 },
    /// Runs it and answers with this status, without the mark of a refusal.
    Fail { status: u16 },
    /// Does not run it and says so.
    Refuse { status: u16, has_mark: bool },
    /// Runs it and does not answer.
    Hang,
    /// Runs it and closes the connection.
    Close,
}

/// How much of a copy is written.
#[derive(Clone, Copy, Debug)]
pub(super) enum CopyForm {
    Whole,
    Parts { cut: u8 },
    BrokenOff { cut: u8 },
}

/// One more copy of an earlier answer on the connection, counted back from the last one.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerCopy {
    pub(super) back: u8,
    pub(super) form: CopyForm,
}

/// When a copy follows an answer.
#[derive(Clone, Copy, Debug)]
pub(super) enum CopyTime {
    /// In the same segment.
    AtOnce,
    After {
        millis: u8,
    },
}

/// What the server does with one arrival of a request.
#[derive(Clone, Debug)]
pub(super) struct ArrivalPlan {
    pub(super) reaction: Reaction,
    pub(super) id_place: IdPlace,
    /// A copy in place of the answer, which comes then.
    pub(super) copy_before: Option<AnswerCopy>,
    pub(super) copy_after: Option<(AnswerCopy, CopyTime)>,
}

const USUAL_ARRIVAL: ArrivalPlan = ArrivalPlan {
    reaction: Reaction::Answer { after_ms: 0 },
    id_place: IdPlace::Last,
    copy_before: None,
    copy_after: None,
};

/// An arrival at the server.
#[derive(Clone)]
pub(super) struct Arrival {
    pub(super) path: String,
    /// Its connection, and how many requests that carried before.
    connection: usize,
    position: usize,
    reaction: Reaction,
}

impl fmt::Debug for Arrival {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Arrival { path, connection, position, reaction } = self;
        write!(formatter, "{path} on connection {connection} after {position}: {reaction:?}")
    }
}

impl Arrival {
    /// Whether the request ran, or may have run for all that a caller can know.
    pub(super) fn ran(&self) -> bool {
        !matches!(self.reaction, Reaction::Refuse { .. })
    }
}

/// A server with plans for the arrivals of each path.
pub(super) struct PlannedServer {
    pub(super) address: SocketAddr,
    state: Arc<ServerState>,
}

struct ServerState {
    plans: HashMap<String, Vec<ArrivalPlan>>,
    arrivals: Mutex<Vec<Arrival>>,
}

impl PlannedServer {
    /// Starts a server; arrivals without a plan are answered at once.
    pub(super) async fn start(plans: HashMap<String, Vec<ArrivalPlan>>) -> Self {
        let (listener, address) = listen().await;
        let state = Arc::new(ServerState { plans, arrivals: Mutex::default() });
        let shared = state.clone();
        tokio::spawn(async move {
            for connection in 0.. {
                let (stream, _) = listener.accept().await.unwrap();
                let connection = ServerConnection::new(stream, connection, shared.clone());
                // An error means that the daemon has closed the connection.
                tokio::spawn(async move { drop(connection.serve().await) });
            }
        });
        PlannedServer { address, state }
    }

    /// The arrivals of requests with plans.
    pub(super) fn arrivals(&self) -> Vec<Arrival> {
        let arrivals = self.state.arrivals.lock().unwrap();
        let planned =
            arrivals.iter().filter(|arrival| self.state.plans.contains_key(&arrival.path));
        planned.cloned().collect()
    }
}

impl ServerState {
    fn plan(&self, path: &str) -> ArrivalPlan {
        let arrivals = self.arrivals.lock().unwrap();
        let earlier = arrivals.iter().filter(|arrival| arrival.path == path).count();
        let plans = self.plans.get(path).and_then(|plans| plans.get(earlier));
        plans.cloned().unwrap_or(USUAL_ARRIVAL)
    }
}

struct ServerConnection {
    stream: TcpStream,
    number: usize,
    state: Arc<ServerState>,
    /// The answers that were written to it.
    answers: Vec<String>,
}

impl ServerConnection {
    fn new(stream: TcpStream, number: usize, state: Arc<ServerState>) -> Self {
        ServerConnection { stream, number, state, answers: Vec::new() }
    }

    async fn serve(mut self) -> std::io::Result<()> {
        for position in 0.. {
            let head = read_head(&mut self.stream).await?;
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            let plan = self.state.plan(&path);
            let (connection, reaction) = (self.number, plan.reaction);
            let arrival = Arrival { path: path.clone(), connection, position, reaction };
            self.state.arrivals.lock().unwrap().push(arrival);
            if let Some(copy) = plan.copy_before {
                self.write_copy(copy).await?;
                sleep(PART_GAP).await;
            }
            let Some(answer) = answer_text(&plan, &path, request_id(&head)) else {
                return self.end(reaction).await;
            };
            self.write_answer(&plan, answer).await?;
        }
        Ok(())
    }

    async fn end(self, reaction: Reaction) -> std::io::Result<()> {
        if matches!(reaction, Reaction::Hang) {
            std::future::pending::<()>().await;
        }
        Ok(())
    }

    async fn write_answer(&mut self, plan: &ArrivalPlan, answer: String) -> std::io::Result<()> {
        match plan.reaction {
            Reaction::AnswerInParts { cut } => self.write_parts(&answer, cut).await?,
            Reaction::Answer { after_ms } => {
                sleep(Duration::from_millis(after_ms.into())).await;
                self.write_with_copy(&answer, plan).await?;
            }
            _ => self.write_with_copy(&answer, plan).await?,
        }
        self.answers.push(answer);
        if let Some((copy, CopyTime::After { millis })) = plan.copy_after {
            sleep(Duration::from_millis(millis.into())).await;
            self.write_copy(copy).await?;
        }
        Ok(())
    }

    /// Writes an answer, with a copy of an earlier one in the same segment if planned.
    async fn write_with_copy(&mut self, answer: &str, plan: &ArrivalPlan) -> std::io::Result<()> {
        let copied = match plan.copy_after {
            Some((copy, CopyTime::AtOnce)) => match (copy.back, copy.form) {
                (0, form) => first_part(answer, form),
                (_, form) => first_part(self.earlier(copy.back - 1), form),
            },
            _ => "",
        };
        let bytes = format!("{answer}{copied}");
        self.stream.write_all(bytes.as_bytes()).await
    }

    async fn write_copy(&mut self, copy: AnswerCopy) -> std::io::Result<()> {
        let answer = self.earlier(copy.back).to_owned();
        match copy.form {
            CopyForm::Parts { cut } => self.write_parts(&answer, cut).await,
            form => self.stream.write_all(first_part(&answer, form).as_bytes()).await,
        }
    }

    async fn write_parts(&mut self, answer: &str, cut: u8) -> std::io::Result<()> {
        let (first, second) = answer.split_at(cut_place(answer, cut));
        self.stream.write_all(first.as_bytes()).await?;
        sleep(PART_GAP).await;
        self.stream.write_all(second.as_bytes()).await
    }

    /// An earlier answer; nothing if there is none.
    fn earlier(&self, back: u8) -> &str {
        let count = self.answers.len();
        let index = count.checked_sub(1 + usize::from(back) % count.max(1));
        index.map_or("", |index| &self.answers[index])
    }
}

fn first_part(answer: &str, form: CopyForm) -> &str {
    match form {
        CopyForm::Whole => answer,
        CopyForm::Parts { cut } | CopyForm::BrokenOff { cut } => &answer[..cut_place(answer, cut)],
    }
}

/// A place in `answer`, which is shorter than the range of `cut`.
fn cut_place(answer: &str, cut: u8) -> usize {
    usize::from(cut) % answer.len().max(1)
}

/// The body of the answer to the request with this path.
pub(super) fn success_body(path: &str) -> String {
    format!("ran {path}")
}

/// The whole answer; `None` if there is none.
fn answer_text(plan: &ArrivalPlan, path: &str, id: &str) -> Option<String> {
    let (status, fields, body) = match plan.reaction {
        Reaction::Answer { .. } | Reaction::AnswerInParts { .. } => {
            (200, SIGNATURE, success_body(path))
        }
        Reaction::Fail { status } => (status, SIGNATURE, format!("failed {path}")),
        Reaction::Refuse { status, has_mark: true } => {
            (status, "x-lentilway-not-executed: 1\r\nretry-after: 0.05\r\n", String::new())
        }
        Reaction::Refuse { status, has_mark: false } => (status, "", String::new()),
        Reaction::Hang | Reaction::Close => return None,
    };
    let id = format!("x-lentilway-attempt-id: {id}\r\n");
    let (first, last) = match plan.id_place {
        IdPlace::First => (id.as_str(), ""),
        IdPlace::Last => ("", id.as_str()),
        IdPlace::Absent => ("", ""),
    };
    let reason = hyper::StatusCode::from_u16(status).ok()?.canonical_reason()?;
    let length = body.len();
    let head = format!("HTTP/1.1 {status} {reason}\r\n{first}{fields}{last}");
    Some(format!("{head}content-length: {length}\r\n\r\n{body}"))
}
