//! A server that sends an answer twice, the copy where the next answer on the connection is due.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// The time between a copy, or a part of it, and what follows on the connection.
const PAUSE: Duration = Duration::from_millis(20);

/// How a copy is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CopyForm {
    Whole,
    /// Cut in the body.
    InPieces,
}

/// Which answer is sent twice.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CopyPlan {
    pub(crate) form: CopyForm,
    /// The number on its connection of the answer that is copied.
    pub(crate) copied: usize,
    /// The number on that connection of the request that is answered by the copy.
    pub(crate) due: usize,
}

impl CopyPlan {
    /// The first answer on each connection is copied where the second is due.
    pub(crate) fn first(form: CopyForm) -> Self {
        CopyPlan { form, copied: 0, due: 1 }
    }
}

/// A server that answers requests in turn, whatever they are.
pub(crate) struct CopyingServer {
    plan: CopyPlan,
    answers: Vec<Vec<u8>>,
    next: AtomicUsize,
}

impl CopyingServer {
    pub(crate) async fn start(
        plan: CopyPlan,
        answers: impl IntoIterator<Item = Vec<u8>>,
    ) -> SocketAddr {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let answers = answers.into_iter().collect();
        let server = Arc::new(CopyingServer { plan, answers, next: AtomicUsize::new(0) });
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(server.clone().serve(stream));
            }
        });
        address
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        let mut copy = None;
        let mut buffer = [0; 4_096];
        for number in 0.. {
            let Ok(1..) = stream.read(&mut buffer).await else { return };
            let next = self.next.fetch_add(1, Ordering::SeqCst);
            let Some(answer) = self.answers.get(next) else { return };
            if let Some(copy) = copy.take_if(|_| number == self.plan.due) {
                self.send_copy(&mut stream, copy).await;
            }
            if number == self.plan.copied {
                copy = Some(answer);
            }
            // An error is seen by the next read.
            let _ = stream.write_all(answer).await;
        }
    }

    async fn send_copy(&self, stream: &mut TcpStream, copy: &[u8]) {
        let cut = match self.plan.form {
            CopyForm::Whole => copy.len(),
            CopyForm::InPieces => copy.len() - 1,
        };
        let (first, rest) = copy.split_at(cut);
        let _ = stream.write_all(first).await;
        sleep(PAUSE).await;
        let _ = stream.write_all(rest).await;
        sleep(PAUSE).await;
    }
}

/// An answer with a body.
pub(crate) fn answer(status: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}
