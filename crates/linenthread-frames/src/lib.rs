//! Frames between linenthread's own programs, and the proof that the peer knows a shared secret.
//!
//! A frame is its length in four bytes, one byte for its kind, and fields; all numbers are big-endian. This package
//! knows the encoding of fields, the splitting of a stream into frames, and proofs. It must not know what any frame
//! means: the packages that define frames (`linenthread-link`, `linenthread-fleet`) build on it. The same fields
//! also make up records on disk and values in the fleet's record.
//!
//! Start reading at [`Encoder`] and [`Decoder`]; [`encode_frame`] and [`drain_frames`] are how connections use them,
//! and [`Secrets`] holds the proofs.

mod decoder;
mod encoder;
mod proof;
mod stream;

pub use decoder::{DecodeError, Decoder};
pub use encoder::{Encoder, encode_frame};
pub use proof::{
    MIN_SECRET_LENGTH, Nonce, Proof, ProofDomain, SecretError, SecretIndex, Secrets, without_proof,
};
pub use stream::{FirstFrame, LENGTH_BYTES, drain_frames, first_frame};
