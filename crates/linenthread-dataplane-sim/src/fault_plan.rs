//! Faults, drawn at random for each connection, write and request.

use crate::random::Random;

/// A fault of a write by the ingress node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFault {
    /// All bytes are accepted. The replica may still ignore them.
    None,
    /// Accepts this number of bytes, then writes fail.
    FailsAfter(usize),
    /// Accepts this number of bytes, then writes block without an error.
    StallsAfter(usize),
}

/// A surplus response, sent in addition to the response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SurplusResponse {
    /// A copy of the response.
    Repeated,
    /// A response with a seal but no request id.
    WithoutId,
    /// A response with the id of a request of another ingress node.
    OfAnotherRequest,
    /// A rejection, which states that the request was not executed, with the id of the answered request.
    Rejection,
    /// A rejection without a request id.
    RejectionWithoutId,
    /// A response without a request id which states that another replica has the address.
    Misdirection,
}

/// When a surplus response arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SurplusTime {
    /// Directly after the response, in the same bytes.
    AtOnce,
    /// Some time after the response: while the connection is idle, or soon after the next request.
    WhileIdle,
    /// After the next request has been written, before its response.
    BeforeNextResponse,
}

/// What happens on the connection after a truncated response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Truncation {
    Close,
    Reset,
    Stall,
}

/// How a replica handles a request that it has read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestFault {
    /// The request is executed and answered normally.
    None,
    /// The request is executed and answered, and a surplus response follows.
    SurplusResponse(SurplusResponse, SurplusTime),
    /// The request is executed; the response has no request id.
    ResponseWithoutId,
    /// The request is executed; the response has the id of a request of another ingress node.
    ResponseOfAnotherRequest,
    /// The request is executed; the response is much delayed.
    LateResponse,
    /// The request is executed and fails; the response has a seal if `sealed`.
    ServerError { sealed: bool },
    /// The request is not executed, and the response says so; the connection is then closed if `closes`.
    Rejected { with_id: bool, closes: bool },
    /// The request is not executed, and the response says so. The same rejection precedes the response to the next
    /// request on the connection.
    RejectedTwice,
    /// Nothing is sent on the connection any more. The request is still executed if `executed`.
    Stalled { executed: bool },
    /// The connection is reset without a response. The request is still executed if `executed`.
    Reset { executed: bool },
    /// The connection is closed without a response. The request is still executed if `executed`.
    Closed { executed: bool },
    /// The request is executed; the response has no `Content-Length`. The connection is closed after the body, or reset
    /// within or after the body if `is_reset`.
    ResponseWithoutLength { is_reset: bool },
    /// The request is executed; only `per_mille` thousandths of the response arrive.
    Truncated { per_mille: u64, end: Truncation },
}

/// Fault rates of a simulation, per mille of requests, writes or connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultPlan {
    requests: u64,
    writes: u64,
    /// Rate of refused connections, and of slow ones among the others.
    pub(crate) connections: u64,
    /// Rate of connections that the replica drops while they are idle, without the ingress node noticing.
    pub(crate) idle_connections: u64,
}

impl FaultPlan {
    /// Draws the fault rates of a simulation, which range from low to high.
    pub(crate) fn draw(random: &Random) -> FaultPlan {
        FaultPlan {
            requests: random.choose(&[20, 100, 300]),
            writes: random.choose(&[0, 10, 60]),
            connections: random.choose(&[0, 20, 80]),
            idle_connections: random.choose(&[0, 100, 400]),
        }
    }

    /// Draws the fault of a request that was read completely.
    pub(crate) fn request(&self, random: &Random) -> RequestFault {
        if !random.per_mille(self.requests) {
            return RequestFault::None;
        }
        let executed = random.per_mille(500);
        match random.below(17) {
            0..=4 => RequestFault::SurplusResponse(surplus_response(random), surplus_time(random)),
            5 => RequestFault::ResponseWithoutId,
            6 => RequestFault::ResponseOfAnotherRequest,
            7 => RequestFault::LateResponse,
            8 => RequestFault::ServerError {
                sealed: random.per_mille(500),
            },
            9 => RequestFault::Rejected {
                with_id: random.per_mille(800),
                closes: random.per_mille(300),
            },
            10 => RequestFault::Stalled { executed },
            11 => RequestFault::Reset { executed },
            12 => RequestFault::Closed { executed },
            13 => RequestFault::RejectedTwice,
            14 | 15 => RequestFault::ResponseWithoutLength {
                is_reset: random.per_mille(500),
            },
            _ => RequestFault::Truncated {
                per_mille: random.below(1_000),
                end: random.choose(&[Truncation::Close, Truncation::Reset, Truncation::Stall]),
            },
        }
    }

    /// Draws the fault of a write of `length` bytes.
    pub(crate) fn write(&self, random: &Random, length: usize) -> WriteFault {
        if !random.per_mille(self.writes) {
            return WriteFault::None;
        }
        let accepted = if random.per_mille(300) {
            0
        } else {
            random.index(length)
        };
        if random.per_mille(700) {
            WriteFault::FailsAfter(accepted)
        } else {
            WriteFault::StallsAfter(accepted)
        }
    }
}

fn surplus_response(random: &Random) -> SurplusResponse {
    random.choose(&[
        SurplusResponse::Repeated,
        SurplusResponse::WithoutId,
        SurplusResponse::OfAnotherRequest,
        SurplusResponse::Rejection,
        SurplusResponse::RejectionWithoutId,
        SurplusResponse::Misdirection,
    ])
}

fn surplus_time(random: &Random) -> SurplusTime {
    random.choose(&[
        SurplusTime::AtOnce,
        SurplusTime::WhileIdle,
        SurplusTime::BeforeNextResponse,
    ])
}
