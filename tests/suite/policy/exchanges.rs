//! What a connection carried, and what its answers say about a run.

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::answer_verdict::{AnswerTraits, AnswerVerdict};
use lentilway::policy::exchange_history::{AnswerOrigin, EXCHANGES_MAX, ExchangeHistory};
use lentilway::policy::head_scan::HeadScan;
use lentilway::policy::surplus_doubt::{DOUBT_SPAN, SurplusDoubt};

fn history_of(ids: &[&str]) -> ExchangeHistory {
    let mut history = ExchangeHistory::default();
    ids.iter().for_each(|id| history.begin(id));
    history
}

#[gtest]
fn origin_kept_connection() {
    let history = history_of(&["a", "b"]);
    let origin = |named: &[&str]| history.origin("b", named.iter().map(|id| id.as_bytes()));
    expect_that!(origin(&["b"]), eq(AnswerOrigin::Own));
    expect_that!(origin(&["a"]), eq(AnswerOrigin::Earlier));
    expect_that!(origin(&["c"]), eq(AnswerOrigin::Foreign));
    expect_that!(origin(&[]), eq(AnswerOrigin::Unnamed));
    expect_that!(origin(&["b", "a"]), eq(AnswerOrigin::Ambiguous));
}

#[gtest]
fn origin_new_connection() {
    let history = history_of(&["a"]);
    expect_that!(history.origin("a", []), eq(AnswerOrigin::First));
    expect_that!(history.origin("a", [&b"b"[..]]), eq(AnswerOrigin::Foreign));
}

/// An answer names its request, not its send.
#[gtest]
fn may_carry_each_request_once() {
    let history = history_of(&["a", "b"]);
    expect_that!(history.may_carry("a"), eq(false));
    expect_that!(history.may_carry("b"), eq(false));
    expect_that!(history.may_carry("c"), eq(true));
}

#[gtest]
fn may_carry_bounded() {
    let mut history = ExchangeHistory::default();
    for number in 0..EXCHANGES_MAX {
        expect_that!(history.may_carry(&number.to_string()), eq(true));
        history.begin(&number.to_string());
    }
    expect_that!(history.may_carry("another"), eq(false));
    expect_that!(history.is_full(), eq(true));
}

const REFUSAL: AnswerTraits = AnswerTraits {
    origin: AnswerOrigin::Own,
    status: 503,
    is_marked: true,
    is_signed: false,
    is_encoded: false,
    runs_once: true,
};
const SUCCESS: AnswerTraits =
    AnswerTraits { status: 200, is_marked: false, is_signed: true, ..REFUSAL };

#[gtest]
fn verdict_other_origin() {
    for origin in [
        AnswerOrigin::Earlier,
        AnswerOrigin::Foreign,
        AnswerOrigin::Unnamed,
        AnswerOrigin::Ambiguous,
        AnswerOrigin::Merged,
    ] {
        for answer in [REFUSAL, SUCCESS, AnswerTraits { status: 421, ..REFUSAL }] {
            let answer = AnswerTraits { origin, ..answer };
            expect_that!(answer.verdict(), eq(AnswerVerdict::Spoiled), "{answer:?}");
        }
    }
}

#[gtest]
fn verdict_refusal() {
    expect_that!(REFUSAL.verdict(), eq(AnswerVerdict::Refused));
    let unnamed = AnswerTraits { origin: AnswerOrigin::First, ..REFUSAL };
    expect_that!(unnamed.verdict(), eq(AnswerVerdict::Refused));
    let misdirected = AnswerTraits { status: 421, is_marked: false, ..REFUSAL };
    expect_that!(misdirected.verdict(), eq(AnswerVerdict::Refused));
}

#[gtest]
fn verdict_success() {
    expect_that!(SUCCESS.verdict(), eq(AnswerVerdict::Answered));
    for spoiled in [
        AnswerTraits { is_signed: false, ..SUCCESS },
        AnswerTraits { is_encoded: true, ..SUCCESS },
        AnswerTraits { origin: AnswerOrigin::Merged, ..SUCCESS },
        AnswerTraits { status: 101, ..SUCCESS },
        AnswerTraits { origin: AnswerOrigin::First, ..SUCCESS },
    ] {
        expect_that!(spoiled.verdict(), eq(AnswerVerdict::Spoiled), "{spoiled:?}");
    }
}

/// A server that ran a request says so with statuses that callers take for "not run", too.
#[gtest]
fn verdict_unmarked_promise() {
    for status in [408, 429, 503] {
        let answer = AnswerTraits { status, is_marked: false, is_signed: true, ..REFUSAL };
        expect_that!(answer.verdict(), eq(AnswerVerdict::Unproven), "{status}");
        let repeatable = AnswerTraits { runs_once: false, ..answer };
        expect_that!(repeatable.verdict(), eq(AnswerVerdict::Answered), "{status}");
    }
}

#[gtest]
fn verdict_mark_on_status_that_ran() {
    for status in [200, 204, 302, 404, 500, 504] {
        let answer = AnswerTraits { status, is_marked: true, is_signed: true, ..REFUSAL };
        expect_that!(answer.verdict(), eq(AnswerVerdict::Answered), "{status}");
    }
}

#[gtest]
fn is_raised_until_span_ended() {
    let mut doubt = SurplusDoubt::default();
    let start = MilliTime(1_000);
    expect_that!(doubt.is_raised(start), eq(false));
    doubt.note(start);
    expect_that!(doubt.is_raised(start + DOUBT_SPAN / 2), eq(true));
    expect_that!(doubt.is_raised(start + DOUBT_SPAN), eq(false));
}

fn status_lines(parts: &[&[u8]]) -> usize {
    let mut scan = HeadScan::begin();
    parts.iter().for_each(|part| scan.read(part));
    scan.status_lines()
}

#[gtest]
fn status_lines_one_answer() {
    for head in [
        "HTTP/1.1 200 OK\r\na: b\r\n\r\nbody HTTP/1.1 503 Busy",
        "HTTP/1.0 503 \n\nHTTP/1.1 200 OK\r\n",
        "\r\n\r\nHTTP/1.1 200 OK\r\nvia: HTTP/1.1 proxy\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
    ] {
        expect_that!(status_lines(&[head.as_bytes()]), eq(1), "{head}");
        let bytes: Vec<&[u8]> = head.as_bytes().chunks(1).collect();
        expect_that!(status_lines(&bytes), eq(1), "{head}");
    }
}

#[gtest]
fn status_lines_cut_answer() {
    for cut in [
        "HTTP/1.1 503 Bu",
        "HTTP/1.1 421 Mal adressé",
        "HTTP/1.1 503 Busy\r\ncontent-length: 1",
        "HTTP/1.1 103 Early",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Bu",
    ] {
        let due = b"HTTP/1.1 200 OK\r\na: b\r\n\r\nwhole";
        expect_that!(status_lines(&[cut.as_bytes(), due]), eq(2), "{cut}");
    }
}
